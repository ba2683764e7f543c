package io.balsamlane.core.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * A service that requests are forwarded to.
 *
 * @param name unique name
 * @param healthPath path of the health check, empty if there is none
 * @param maxConnections connections that one server accepts from all callers
 * @param engine size of the engines, empty for a plain service
 */
public record ForwardedService(String name, String healthPath, int maxConnections, Optional<EngineLimits> engine) {

	public ForwardedService {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(healthPath, "healthPath");
		Objects.requireNonNull(engine, "engine");
	}

}
