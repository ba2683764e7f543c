package io.balsamlane.standin.fleet;

import java.util.Map;

/**
 * Router of a fleet with its process and ports.
 *
 * @param process process of the router
 * @param place place of its host
 * @param region region of the place
 * @param overrides settings that override the fleet's, by {@code section.key}
 * @param callerPort port for callers
 * @param adminPort port for operators
 * @param peerPort port for other routers, 0 if the router has none
 */
public record RouterProcess(ChildProcess process, String place, String region, Map<String, String> overrides,
		int callerPort, int adminPort, int peerPort) {

	/**
	 * Return a URL on the port for callers.
	 * @param path path and query, with a leading slash
	 * @return the URL
	 */
	public String callerUrl(String path) {
		return "http://127.0.0.1:" + this.callerPort + path;
	}

	/**
	 * Return a URL on the port for operators.
	 * @param path path and query, with a leading slash
	 * @return the URL
	 */
	public String adminUrl(String path) {
		return "http://127.0.0.1:" + this.adminPort + path;
	}

}
