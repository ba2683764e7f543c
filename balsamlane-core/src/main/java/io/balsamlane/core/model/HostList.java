package io.balsamlane.core.model;

import java.util.List;

/**
 * Host list of the platform, as last read.
 *
 * @param servers the listed backend servers
 * @param routers the listed router hosts
 */
public record HostList(List<BackendServer> servers, List<RouterHost> routers) {

	public HostList {
		servers = List.copyOf(servers);
		routers = List.copyOf(routers);
	}

	/**
	 * Return a host list without hosts.
	 * @return the empty host list
	 */
	public static HostList empty() {
		return new HostList(List.of(), List.of());
	}

}
