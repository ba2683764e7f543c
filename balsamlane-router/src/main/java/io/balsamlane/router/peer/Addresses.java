package io.balsamlane.router.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

import io.balsamlane.core.model.Endpoint;
import io.netty.util.NetUtil;

/**
 * Utility for converting addresses to socket addresses without a DNS lookup, which could
 * block the event loop.
 */
final class Addresses {

	private Addresses() {
	}

	static InetSocketAddress of(Endpoint endpoint) {
		return of(endpoint.address(), endpoint.port());
	}

	static InetSocketAddress of(String address, int port) {
		byte[] bytes = NetUtil.createByteArrayFromIpAddressString(address);
		try {
			return (bytes != null) ? new InetSocketAddress(InetAddress.getByAddress(bytes), port)
					: InetSocketAddress.createUnresolved(address, port);
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("IP address of 4 or 16 bytes was rejected", ex);
		}
	}

}
