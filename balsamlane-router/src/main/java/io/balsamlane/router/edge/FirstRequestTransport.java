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
 * Closes accepted connections that do not send the head of a first request in time.
 * <p>
 * Vert.x tells a server about a connection only with its first whole head, because until
 * then it does not know whether HTTP/1.1 or HTTP/2 is spoken; a caller that sends one
 * byte at a time would be held for ever. No interface of Vert.x reaches such connections,
 * so this class watches them where they are accepted.
 */
public final class FirstRequestTransport extends NioTransport {

	private final int limitMillis;

	private FirstRequestTransport(int limitMillis) {
		this.limitMillis = limitMillis;
	}

	/**
	 * Creates event loops whose HTTP servers have this limit.
	 * @param limitMillis longest time from the accept to the first whole head, in
	 * milliseconds
	 * @return the event loops
	 */
	public static Vertx createVertx(int limitMillis) {
		FirstRequestTransport transport = new FirstRequestTransport(limitMillis);
		return Vertx.builder().withTransport(new Named(transport)).build();
	}

	@Override
	public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
		super.configure(options, domainSocket, bootstrap);
		bootstrap.handler(new AcceptHandler(this.limitMillis));
	}

	private record Named(FirstRequestTransport implementation) implements Transport {

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

		private final int limitMillis;

		AcceptHandler(int limitMillis) {
			this.limitMillis = limitMillis;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			context.fireChannelRead(message);
			if (message instanceof Channel accepted) {
				context.executor()
					.schedule(() -> closeWithoutRequest(accepted), this.limitMillis, TimeUnit.MILLISECONDS);
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
