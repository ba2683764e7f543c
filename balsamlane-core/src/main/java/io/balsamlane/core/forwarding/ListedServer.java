package io.balsamlane.core.forwarding;

import java.util.Objects;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.ServerName;

/**
 * A backend server as listed by the platform.
 *
 * @param server name, service, place and address
 * @param stage stage of a model request that it runs
 * @param slots maximum number of concurrent requests
 * @param startedMillis start time of the current incarnation, in milliseconds since the
 * epoch, 0 if unknown
 */
public record ListedServer(BackendServer server, EngineStage stage, int slots, long startedMillis) {

	public ListedServer {
		Objects.requireNonNull(server, "server");
		Objects.requireNonNull(stage, "stage");
	}

	/**
	 * Return the name of the server.
	 * @return the name
	 */
	public ServerName name() {
		return this.server.name();
	}

	/**
	 * Return the service to which the server belongs.
	 * @return name of the service
	 */
	public String service() {
		return this.server.group();
	}

	/**
	 * Return whether the given entry describes the same incarnation of the same server.
	 * @param other another entry
	 * @return false if the server was restarted in between or its endpoint changed
	 */
	public boolean sameIncarnation(ListedServer other) {
		return name().equals(other.name()) && this.startedMillis == other.startedMillis
				&& this.server.endpoint().equals(other.server.endpoint());
	}

}
