package io.balsamlane.core.model;

import java.util.Objects;

/**
 * A router host as the host list shows it.
 *
 * @param name name of the host
 * @param place place it stands in
 * @param peer address for other routers
 * @param leaving whether the host list shows it as leaving
 */
public record RouterHost(HostName name, Place place, Endpoint peer, boolean leaving) {

	public RouterHost {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(place, "place");
		Objects.requireNonNull(peer, "peer");
	}

}
