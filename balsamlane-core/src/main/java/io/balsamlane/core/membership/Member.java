package io.balsamlane.core.membership;

import java.util.Objects;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;

/**
 * A router that is believed to be alive.
 *
 * @param host name of its host
 * @param incarnation its last known incarnation
 * @param place place of its host
 * @param peer address for other routers
 */
public record Member(HostName host, long incarnation, Place place, Endpoint peer) {

	public Member {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(place, "place");
		Objects.requireNonNull(peer, "peer");
	}

}
