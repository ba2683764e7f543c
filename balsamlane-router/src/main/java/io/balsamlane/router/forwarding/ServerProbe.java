package io.balsamlane.router.forwarding;

import java.net.ConnectException;

import io.balsamlane.core.model.Endpoint;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;

/**
 * Strategy interface to find out whether a server that closed its connections has
 * terminated.
 */
@FunctionalInterface
interface ServerProbe {

	/**
	 * Probe a server.
	 * @param server address of the server
	 * @return true if nothing listens at the address; the future never fails
	 */
	Future<Boolean> hasTerminated(Endpoint server);

	/**
	 * Create a probe that opens a connection and closes it without sending anything.
	 * @param vertx the event loop
	 * @param timeoutMillis time limit, in milliseconds; a server that is silent for this
	 * time may still be running
	 * @return the probe
	 */
	static ServerProbe byConnecting(Vertx vertx, int timeoutMillis) {
		NetClient client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(timeoutMillis));
		return (server) -> client.connect(server.port(), server.address())
			.compose((socket) -> socket.close())
			.map(false)
			.otherwise(ServerProbe::isRefused);
	}

	private static boolean isRefused(Throwable cause) {
		return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
	}

}
