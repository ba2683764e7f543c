package io.balsamlane.router.intake;

import java.lang.management.ManagementFactory;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.sun.management.UnixOperatingSystemMXBean;
import io.balsamlane.core.forwarding.CallerLimits;
import io.balsamlane.core.memory.MemoryBudget;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Limits the memory, the time and the connections that callers occupy. Everything is
 * counted before it is buffered. Used on the event loop of the server only.
 */
public final class CallerGuard {

	/** Time after which a caller may retry, about that of a few requests. */
	static final int RETRY_AFTER_MILLIS = 500;

	private static final String DECODER = "httpDecoder";

	private static final String ENCODER = "httpEncoder";

	/**
	 * Size of a read from a connection, in bytes. An incomplete line keeps the buffer of
	 * its read, so larger buffers would allow idle connections to exhaust the memory.
	 */
	private static final int MAX_READ_BYTES = 8192;

	/** Estimated memory of a connection without a request, in bytes. */
	private static final int CONNECTION_COST = 8192;

	/** Part of the heap for connections without requests. */
	private static final int CONNECTIONS_HEAP_PART = 8;

	/** Descriptors for files, listening sockets, peers and the store. */
	private static final int RESERVED_DESCRIPTORS = 200;

	private final MemoryBudget budget;

	private final Supplier<CallerLimits> limits;

	private final int maxConnections;

	private final Consumer<String> refusals;

	private final Set<ConnectionGuard> connections = new HashSet<>();

	/** Connections without a request in progress, longest idle first. */
	private final Set<ConnectionGuard> idle = new LinkedHashSet<>();

	private CallerGuard(MemoryBudget budget, Supplier<CallerLimits> limits, int maxConnections,
			Consumer<String> refusals) {
		this.budget = budget;
		this.limits = limits;
		this.maxConnections = maxConnections;
		this.refusals = refusals;
	}

	/**
	 * Create the limits of a server.
	 * @param budget accounts for the memory
	 * @param limits the limits in force
	 * @param maxConnections maximum number of connections
	 * @param refusals notified of the reason of each refusal
	 * @return the limits
	 */
	public static CallerGuard create(MemoryBudget budget, Supplier<CallerLimits> limits, int maxConnections,
			Consumer<String> refusals) {
		return new CallerGuard(budget, limits, maxConnections, refusals);
	}

	/**
	 * Return the maximum number of connections of callers of this process.
	 * @return the maximum number of connections
	 */
	public static int maxConnections() {
		long descriptors = (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system)
				? system.getMaxFileDescriptorCount() : Integer.MAX_VALUE;
		return maxConnections(Runtime.getRuntime().maxMemory(), descriptors);
	}

	/**
	 * Return the number of connections of callers that leaves memory for requests and
	 * descriptors for other connections.
	 * @param maxHeapBytes maximum size of the heap, in bytes
	 * @param maxDescriptors maximum number of descriptors of the process
	 * @return the maximum number of connections
	 */
	static int maxConnections(long maxHeapBytes, long maxDescriptors) {
		long byMemory = maxHeapBytes / CONNECTIONS_HEAP_PART / CONNECTION_COST;
		long byDescriptors = (maxDescriptors - RESERVED_DESCRIPTORS) / 2;
		return (int) Math.max(1, Math.min(byMemory, byDescriptors));
	}

	/**
	 * Apply the limits to a connection that has been accepted. If there are too many, the
	 * connection that has been idle for longest is closed.
	 * @param connection the connection
	 * @param options options of its server
	 */
	public void connectionOpened(HttpConnection connection, HttpServerOptions options) {
		Channel channel = ((ConnectionBase) connection).channel();
		ConnectionGuard guard = new ConnectionGuard(this, channel, connection.remoteAddress().hostAddress());
		if (this.connections.size() >= this.maxConnections) {
			Iterator<ConnectionGuard> oldest = this.idle.iterator();
			if (!oldest.hasNext()) {
				count("too-many-connections");
				channel.close();
				return;
			}
			ConnectionGuard closed = oldest.next();
			oldest.remove();
			closed.close("too-many-connections");
		}
		this.connections.add(guard);
		this.idle.add(guard);
		channel.config().setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator(512, 2048, MAX_READ_BYTES));
		ChannelPipeline pipeline = channel.pipeline();
		pipeline.replace(DECODER, DECODER, new LimitedRequestDecoder(options, guard));
		pipeline.addBefore(DECODER, "unreadResponses", new UnreadResponseMonitor(guard, this.budget));
		pipeline.addAfter(ENCODER, "callerGuard", guard);
	}

	/**
	 * Record the reader of the body of a request that has just been received.
	 * @param request the request
	 * @param reader the reader
	 */
	public void bodyStarted(HttpServerRequest request, RequestBodyReader reader) {
		ConnectionGuard guard = guard(request);
		if (guard != null) {
			guard.bodyRead(reader);
		}
	}

	/**
	 * Close the connection of a request that has been refused before its end.
	 * @param request the request
	 */
	public void closeSoon(HttpServerRequest request) {
		ConnectionGuard guard = guard(request);
		if (guard != null) {
			guard.closeSoon();
		}
	}

	/**
	 * Close the connection of a caller that sends requests without reading the responses
	 * to the earlier ones.
	 * @param request the request, which is not run
	 */
	public void responseNotRead(HttpServerRequest request) {
		ConnectionGuard guard = guard(request);
		if (guard != null) {
			guard.close("response-not-read");
		}
	}

	// The handlers of a closed connection have been removed.
	private static ConnectionGuard guard(HttpServerRequest request) {
		return ((ConnectionBase) request.connection()).channel().pipeline().get(ConnectionGuard.class);
	}

	/**
	 * Return the number of connections of callers.
	 * @return the number of connections
	 */
	public int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Count a refusal.
	 * @param reason the reason
	 */
	public void count(String reason) {
		this.refusals.accept(reason);
	}

	MemoryBudget budget() {
		return this.budget;
	}

	CallerLimits limits() {
		return this.limits.get();
	}

	void active(ConnectionGuard guard) {
		this.idle.remove(guard);
	}

	void idle(ConnectionGuard guard) {
		if (this.connections.contains(guard)) {
			this.idle.add(guard);
		}
	}

	void closed(ConnectionGuard guard) {
		this.connections.remove(guard);
		this.idle.remove(guard);
	}

}
