package io.balsamlane.core.orders;

import java.util.Objects;

import io.balsamlane.core.model.ServerName;

/**
 * An engine that should take another part in model requests.
 *
 * @param engine the engine
 * @param role its new role, {@code prefill} or {@code decode}
 */
public record StageChange(ServerName engine, String role) {

	public StageChange {
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(role, "role");
	}

}
