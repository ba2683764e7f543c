package io.balsamlane.core.model;

import java.util.List;

/**
 * The platform's list of hosts as it was last read.
 *
 * @param servers backend servers
 * @param routers router hosts
 */
public record HostList(List<BackendServer> servers, List<RouterHost> routers) {

	public HostList {
		servers = List.copyOf(servers);
		routers = List.copyOf(routers);
	}

	/**
	 * Returns a list without hosts.
	 * @return the empty list
	 */
	public static HostList empty() {
		return new HostList(List.of(), List.of());
	}

}
