package io.balsamlane.standin.fleet;

import java.util.Map;

/**
 * A router of a fleet.
 *
 * @param process its process
 * @param place place of its host
 * @param region region of the place
 * @param overrides settings that differ from the fleet's, by {@code section.key}
 * @param callerPort port for callers
 * @param adminPort port for operators
 * @param peerPort port for other routers, 0 if the router has none
 */
public record RouterProcess(ChildProcess process, String place, String region, Map<String, String> overrides,
		int callerPort, int adminPort, int peerPort) {

	/**
	 * Returns the address for callers.
	 * @param path path and query, with a leading slash
	 * @return the URL
	 */
	public String callerUrl(String path) {
		return "http://127.0.0.1:" + this.callerPort + path;
	}

	/**
	 * Returns the address for operators.
	 * @param path path and query, with a leading slash
	 * @return the URL
	 */
	public String adminUrl(String path) {
		return "http://127.0.0.1:" + this.adminPort + path;
	}

}
