package io.balsamlane.core.model;

import java.util.Objects;

/**
 * A backend server as the host list shows it.
 *
 * @param name name of the server
 * @param kind engine or plain service
 * @param group name of the pool or the plain service it belongs to
 * @param place place it stands in
 * @param region region of the place
 * @param endpoint address for requests
 * @param leaving whether the host list shows it as leaving
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
	 * Kinds of backend servers.
	 */
	public enum Kind {

		/** A model engine. */
		ENGINE,

		/** A replica of a plain service. */
		SERVICE

	}

}
