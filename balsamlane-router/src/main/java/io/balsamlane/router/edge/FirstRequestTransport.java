package io.balsamlane.router.edge;

import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.Vertx;
import io.vertx.core.http.impl.Http1xOrH2CHandler;
import io.vertx.core.http.impl.Http1xUpgradeToH2CHandler;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.transport.Transport;

/**
 * Transport that closes accepted connections which do not send the complete head of a
 * first request within a time limit.
 * <p>
 * Vert.x reports a connection to its server only after the first complete head, because
 * until then the protocol, HTTP/1.1 or HTTP/2, is unknown. A caller that sends one byte
 * at a time would otherwise hold its connection indefinitely. Vert.x has no API for such
 * connections, so this class schedules their time limit when they are accepted.
 */
public final class FirstRequestTransport extends NioTransport {

	private final int firstRequestTimeoutMillis;

	private FirstRequestTransport(int firstRequestTimeoutMillis) {
		this.firstRequestTimeoutMillis = firstRequestTimeoutMillis;
	}

	/**
	 * Create a Vert.x instance whose HTTP servers apply the time limit.
	 * @param firstRequestTimeoutMillis maximum time from accepting a connection to its
	 * first complete head, in milliseconds
	 * @return the Vert.x instance
	 */
	public static Vertx createVertx(int firstRequestTimeoutMillis) {
		FirstRequestTransport transport = new FirstRequestTransport(firstRequestTimeoutMillis);
		return Vertx.builder().withTransport(new NamedTransport(transport)).build();
	}

	@Override
	public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
		super.configure(options, domainSocket, bootstrap);
		bootstrap.handler(new AcceptHandler(this.firstRequestTimeoutMillis));
	}

	private record NamedTransport(FirstRequestTransport implementation) implements Transport {

		@Override
		public String name() {
			return "nio";
		}

		@Override
		public boolean available() {
			return true;
		}

		@Override
		public Throwable unavailabilityCause() {
			return null;
		}

	}

	@Sharable
	private static final class AcceptHandler extends ChannelInboundHandlerAdapter {

		private final int firstRequestTimeoutMillis;

		AcceptHandler(int firstRequestTimeoutMillis) {
			this.firstRequestTimeoutMillis = firstRequestTimeoutMillis;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			context.fireChannelRead(message);
			if (message instanceof Channel accepted) {
				context.executor()
					.schedule(() -> closeWithoutRequest(accepted), this.firstRequestTimeoutMillis,
							TimeUnit.MILLISECONDS);
			}
		}

		private static void closeWithoutRequest(Channel accepted) {
			if (accepted.pipeline().get(Http1xOrH2CHandler.class) != null
					|| accepted.pipeline().get(Http1xUpgradeToH2CHandler.class) != null) {
				accepted.close();
			}
		}

	}

}
