package io.balsamlane.core.orders;

import java.util.Objects;

import io.balsamlane.core.model.ServerName;

/**
 * Change of the stage in which an engine processes model requests.
 *
 * @param engine name of the engine
 * @param role new role of the engine, {@code prefill} or {@code decode}
 */
public record StageChange(ServerName engine, String role) {

	public StageChange {
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(role, "role");
	}

}
