package io.balsamlane.core.forwarding;

import java.util.Objects;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.ServerName;

/**
 * A backend server as its platform lists it.
 *
 * @param server name, service, place and address
 * @param stage its part in a model request
 * @param slots requests that it runs at once
 * @param bornMillis start of its present incarnation, in milliseconds since 1970, 0 if
 * unknown
 */
public record ListedServer(BackendServer server, EngineStage stage, int slots, long bornMillis) {

	public ListedServer {
		Objects.requireNonNull(server, "server");
		Objects.requireNonNull(stage, "stage");
	}

	/**
	 * Returns the name.
	 * @return the name of the server
	 */
	public ServerName name() {
		return this.server.name();
	}

	/**
	 * Returns the service.
	 * @return name of the service that it belongs to
	 */
	public String service() {
		return this.server.group();
	}

	/**
	 * Tells whether the entry describes the same run of the same server.
	 * @param other another entry
	 * @return false if the server was started again in between or has moved
	 */
	public boolean sameIncarnation(ListedServer other) {
		return name().equals(other.name()) && this.bornMillis == other.bornMillis
				&& this.server.endpoint().equals(other.server.endpoint());
	}

}
