package io.balsamlane.core.forwarding;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;

/**
 * Identifies one incarnation of a backend server.
 *
 * @param name name of the server
 * @param startedMillis start time, in milliseconds since the epoch, 0 if unknown
 * @param endpoint address of the server
 */
record Incarnation(ServerName name, long startedMillis, Endpoint endpoint) {

	static Incarnation of(ListedServer server) {
		return new Incarnation(server.name(), server.startedMillis(), server.server().endpoint());
	}

}
