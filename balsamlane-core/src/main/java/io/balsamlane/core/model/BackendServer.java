package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Backend server, as listed in the host list.
 *
 * @param name name of the server
 * @param kind whether the server is an engine or a replica of a plain service
 * @param group name of the pool or plain service that the server belongs to
 * @param place place where the server runs
 * @param region region of the place
 * @param endpoint address for requests
 * @param leaving whether the host list marks the server as leaving
 */
public record BackendServer(ServerName name, Kind kind, String group, Place place, String region, Endpoint endpoint,
		boolean leaving) {

	public BackendServer {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(group, "group");
		Objects.requireNonNull(place, "place");
		Objects.requireNonNull(region, "region");
		Objects.requireNonNull(endpoint, "endpoint");
	}

	/**
	 * Kind of a backend server.
	 */
	public enum Kind {

		/** An engine that runs a model. */
		ENGINE,

		/** A replica of a plain service. */
		SERVICE

	}

}
