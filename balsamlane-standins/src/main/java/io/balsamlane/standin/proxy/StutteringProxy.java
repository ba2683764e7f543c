package io.balsamlane.standin.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

import io.balsamlane.standin.StandIn;
import io.balsamlane.standin.proxy.SecondResponse.Pieces;
import io.balsamlane.standin.proxy.SecondResponse.Timing;
import io.vertx.core.Future;

/**
 * Proxy in front of a stand-in that forwards the requests of a connection one after
 * another on a connection of its own. It does not support responses that end with their
 * connection, nor the method {@code HEAD}.
 * <p>
 * Faults: second responses, and responses without the id of their request.
 */
public final class StutteringProxy implements StandIn {

	private static final Logger logger = System.getLogger(StutteringProxy.class.getName());

	private static final int IDLE_MILLIS = 10;

	private static final int PIECE_PAUSE_MILLIS = 5;

	private static final Pattern ID_HEADER = Pattern.compile("(?i)\r\nx-request-id:[^\r]*");

	private final int targetPort;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger closedByClient = new AtomicInteger();

	private final AtomicInteger sentPieces = new AtomicInteger();

	private final AtomicInteger remaining = new AtomicInteger();

	private volatile SecondResponse fault;

	private volatile boolean echoing = true;

	private volatile ServerSocket listener;

	/**
	 * Create a proxy without faults.
	 * @param targetPort the port of the stand-in
	 */
	public StutteringProxy(int targetPort) {
		this.targetPort = targetPort;
	}

	/**
	 * Answer the next requests twice.
	 * @param response the second responses and their number
	 */
	public void stutter(SecondResponse response) {
		this.fault = response;
		this.remaining.set(response.times());
	}

	/**
	 * Set whether responses carry the id of their request.
	 * @param echoing whether the ids are passed on
	 */
	public void setEchoing(boolean echoing) {
		this.echoing = echoing;
	}

	/**
	 * Return the number of accepted connections.
	 * @return the number of connections
	 */
	public int connections() {
		return this.connections.get();
	}

	/**
	 * Return the number of connections that the client has closed.
	 * @return the number of connections
	 */
	public int closedByClient() {
		return this.closedByClient.get();
	}

	/**
	 * Return the number of requests that are still to be answered twice.
	 * @return the number of requests
	 */
	public int remaining() {
		return this.remaining.get();
	}

	/**
	 * Return the number of pieces of second responses that have been sent.
	 * @return the number of pieces
	 */
	public int sentPieces() {
		return this.sentPieces.get();
	}

	@Override
	public Future<Integer> start() {
		try {
			this.listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			return Future.failedFuture(ex);
		}
		startThread(this::accept);
		return Future.succeededFuture(this.listener.getLocalPort());
	}

	@Override
	public Future<Void> stop() {
		close(this.listener);
		this.sockets.forEach(StutteringProxy::close);
		return Future.succeededFuture();
	}

	private static void close(AutoCloseable resource) {
		try {
			resource.close();
		}
		catch (Exception ex) {
			logger.log(Level.DEBUG, "Cannot close a socket", ex);
		}
	}

	private static void startThread(Runnable action) {
		Thread thread = new Thread(action, "stuttering-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		try {
			while (!this.listener.isClosed()) {
				Socket client = this.listener.accept();
				this.connections.incrementAndGet();
				startThread(() -> serve(client));
			}
		}
		catch (IOException ex) {
			logger.log(Level.DEBUG, "The proxy no longer accepts connections", ex);
		}
	}

	private void serve(Socket client) {
		try (client; Socket server = new Socket(InetAddress.getLoopbackAddress(), this.targetPort)) {
			this.sockets.addAll(List.of(client, server));
			client.setTcpNoDelay(true);
			server.setTcpNoDelay(true);
			forward(client, server);
		}
		catch (IOException ex) {
			logger.log(Level.DEBUG, "A connection of the proxy ended", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.sockets.removeIf(Socket::isClosed);
	}

	private void forward(Socket client, Socket server) throws IOException, InterruptedException {
		HttpMessageReader requests = new HttpMessageReader(new BufferedInputStream(client.getInputStream()));
		HttpMessageReader responses = new HttpMessageReader(new BufferedInputStream(server.getInputStream()));
		OutputStream toClient = client.getOutputStream();
		List<byte[]> late = List.of();
		byte[] head = requests.readHead();
		while (head.length > 0) {
			ByteArrayOutputStream request = new ByteArrayOutputStream();
			request.write(head);
			requests.readBody(head, request::write);
			for (byte[] piece : late) {
				toClient.write(piece);
				this.sentPieces.incrementAndGet();
				TimeUnit.MILLISECONDS.sleep(PIECE_PAUSE_MILLIS);
			}
			server.getOutputStream().write(request.toByteArray());
			late = respond(responses, toClient);
			head = requests.readHead();
		}
		this.closedByClient.incrementAndGet();
	}

	// Returns the pieces of a second response that are to be sent after the next request.
	private List<byte[]> respond(HttpMessageReader responses, OutputStream toClient)
			throws IOException, InterruptedException {
		SecondResponse second = this.fault;
		boolean stutters = second != null && this.remaining.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
		boolean delayed = stutters && second.timing() == Timing.SAME_WRITE;
		ByteArrayOutputStream response = new ByteArrayOutputStream();
		byte[] head = responses.readHead();
		HttpMessageReader.Pieces relay = (piece) -> {
			response.write(piece);
			if (!delayed) {
				toClient.write(piece);
			}
		};
		relay.accept(this.echoing ? head : withoutId(head));
		responses.readBody(head, relay);
		if (!stutters) {
			return List.of();
		}
		byte[] first = response.toByteArray();
		List<byte[]> pieces = pieces(second, first);
		if (second.timing() == Timing.NEXT_REQUEST) {
			return pieces;
		}
		if (second.timing() == Timing.IDLE) {
			TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
		}
		toClient.write(delayed ? concat(first, pieces.get(0)) : pieces.get(0));
		this.sentPieces.incrementAndGet();
		return pieces.subList(1, pieces.size());
	}

	private static List<byte[]> pieces(SecondResponse second, byte[] first) {
		byte[] content = switch (second.content()) {
			case COPY -> first;
			case COPY_WITHOUT_ID -> withoutId(first);
			case FAILURE -> error("500 Internal Server Error", "internal-error");
			case REFUSAL -> error("503 Service Unavailable\r\nX-Leaving: true", "leaving");
		};
		if (second.pieces() == Pieces.WHOLE) {
			return List.of(content);
		}
		int middle = new String(content, StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") / 2;
		return List.of(Arrays.copyOf(content, middle), Arrays.copyOfRange(content, middle, content.length));
	}

	private static byte[] error(String status, String kind) {
		String body = "{\"kind\":\"" + kind + "\"}";
		return ("HTTP/1.1 " + status + "\r\ncontent-length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	private static byte[] withoutId(byte[] message) {
		return ID_HEADER.matcher(new String(message, StandardCharsets.ISO_8859_1))
			.replaceFirst("")
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	private static byte[] concat(byte[] first, byte[] second) {
		byte[] both = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, both, first.length, second.length);
		return both;
	}

}
