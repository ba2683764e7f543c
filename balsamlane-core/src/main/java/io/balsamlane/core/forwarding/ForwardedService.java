package io.balsamlane.core.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * A service to which requests are forwarded.
 *
 * @param name unique name of the service
 * @param healthPath path of the health check, empty if there is none
 * @param maxConnections maximum number of connections that one server accepts from all
 * callers
 * @param engine capacity of the engines, empty for a plain service
 */
public record ForwardedService(String name, String healthPath, int maxConnections, Optional<EngineLimits> engine) {

	public ForwardedService {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(healthPath, "healthPath");
		Objects.requireNonNull(engine, "engine");
	}

}
