package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Network address at which a process accepts connections.
 *
 * @param address the IP address
 * @param port the TCP port, from 1 to 65535
 */
public record Endpoint(String address, int port) {

	public Endpoint {
		Objects.requireNonNull(address, "address");
		if (port < 1 || port > 65535) {
			throw new IllegalArgumentException("Invalid port " + port + ": must be between 1 and 65535");
		}
	}

	/**
	 * Create an endpoint.
	 * @param address the IP address
	 * @param port the TCP port, from 1 to 65535
	 * @return the endpoint
	 */
	public static Endpoint of(String address, int port) {
		return new Endpoint(address, port);
	}

	// Explicit, because the generated methods call method handles, which the C1 compiler
	// does not inline.
	@Override
	public boolean equals(Object other) {
		return other instanceof Endpoint that && this.port == that.port && this.address.equals(that.address);
	}

	@Override
	public int hashCode() {
		return 31 * this.address.hashCode() + this.port;
	}

	@Override
	public String toString() {
		return this.address + ":" + this.port;
	}

}
