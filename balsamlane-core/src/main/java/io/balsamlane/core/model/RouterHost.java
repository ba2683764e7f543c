package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Router host, as listed in the host list.
 *
 * @param name name of the host
 * @param place place where the host runs
 * @param peer address at which other routers connect
 * @param leaving whether the host list marks the host as leaving
 */
public record RouterHost(HostName name, Place place, Endpoint peer, boolean leaving) {

	public RouterHost {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(place, "place");
		Objects.requireNonNull(peer, "peer");
	}

}
