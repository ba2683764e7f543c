import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a replica: one thread for each connection, one request at a time on it. */
final class Replica {

	final String id;

	final String service;

	final String zone;

	final String address;

	final int port;

	private final Behaviour behaviour;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private ServerSocket listener;

	Replica(String id, String service, String zone, String address, Behaviour behaviour) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.address = address;
		this.port = Loopback.freePort(address);
		this.behaviour = behaviour;
		listen();
	}

	String endpoint() {
		return this.address + ":" + this.port;
	}

	/** Returns the entry of this replica in the store. */
	String entry(String state, String phase, int slots, long born) {
		return "{\"service\":\"" + this.service + "\",\"address\":\"" + endpoint() + "\",\"zone\":\"" + this.zone
				+ "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_left_ms\":0,"
				+ ((phase != null) ? "\"phase\":\"" + phase + "\",\"models\":[{\"name\":\"m\",\"version\":1,"
						+ "\"adapters\":[]}]," : "")
				+ "\"seq\":1,\"born\":" + born + "}";
	}

	void listen() throws IOException {
		ServerSocket opened = new ServerSocket();
		opened.setReuseAddress(true);
		opened.bind(new InetSocketAddress(InetAddress.getByName(this.address), this.port), 256);
		this.listener = opened;
		thread(() -> {
			while (true) {
				Socket socket = opened.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				thread(() -> serve(socket));
			}
		});
	}

	/** Closes the listening socket and all connections, as the end of the process does. */
	void crash() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.sockets.clear();
	}

	private void serve(Socket socket) throws IOException {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
			for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
				String expected = request.header("X-Balsamlane-Expected-Instance");
				Call call = new Call(this, request, socket);
				if (expected != null && !expected.equals(this.id)) {
					call.answer(421, "X-Balsamlane-Instance-Id: " + this.id + "\r\n", "");
				}
				else {
					this.behaviour.handle(call);
				}
			}
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	static void thread(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The connection has ended.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	/** Work of a thread. */
	interface Task {

		void run() throws IOException, InterruptedException;

	}

	/** Answers the requests of a replica. */
	interface Behaviour {

		void handle(Call call) throws IOException;

	}

	/** A request with the means to answer it. */
	static final class Call {

		/** Below a link of 1,000 Mbit/s. */
		private static final long LINK_BYTES_PER_MICRO = 110;

		final Replica replica;

		final Http.Message request;

		final Socket socket;

		Call(Replica replica, Http.Message request, Socket socket) {
			this.replica = replica;
			this.request = request;
			this.socket = socket;
		}

		String id() {
			return this.request.header("X-Balsamlane-Request-Id");
		}

		String signature() {
			return "sig-" + this.replica.id + "-" + id();
		}

		/** Headers of an answer of the replica to a client's request. */
		String signed() {
			return "X-Balsamlane-Server-Signature: " + signature() + "\r\n";
		}

		void answer(int status, String headers, String body) throws IOException {
			byte[] content = body.getBytes(StandardCharsets.UTF_8);
			write("HTTP/1.1 " + status + " Status\r\n" + echo() + headers + "Content-Length: " + content.length
					+ "\r\n\r\n" + body);
		}

		String echo() {
			return (id() != null) ? "X-Balsamlane-Request-Id: " + id() + "\r\n" : "";
		}

		void refuse() throws IOException {
			answer(503, "X-Balsamlane-Not-Executed: 1\r\n", "");
		}

		/** Answers a call for the state of an engine. */
		void report(String phase, int orders) throws IOException {
			answer(200, "Content-Type: application/json\r\n", "{\"phase\":\"" + phase
					+ "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"in_flight\":false,\"seq\":"
					+ orders + ",\"waiting\":0,\"num_running\":1,\"kv_used\":0,\"kv_total\":33770,\"kv_handles\":0}");
		}

		/** Answers with a number of events. */
		void stream(int events, long pauseMillis) throws IOException {
			write("HTTP/1.1 200 OK\r\n" + echo() + signed()
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
			for (int event = 1; event <= events; event++) {
				pause(pauseMillis);
				chunk("id: " + event + "\ndata: t" + event + "\n\n");
			}
			write("0\r\n\r\n");
		}

		/** Answers with bytes that are no answer, until the caller closes. */
		void answerWithoutEnd(Record record) throws IOException {
			write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n");
			byte[] block = "no answer ".repeat(1600).getBytes(StandardCharsets.ISO_8859_1);
			long sent = 0;
			long fromNanos = System.nanoTime();
			try {
				while (true) {
					this.socket.getOutputStream().write(block);
					sent += block.length;
					if (System.nanoTime() - fromNanos < sent * 1_000 / LINK_BYTES_PER_MICRO) {
						pause(1);
					}
					if ((sent >> 23) != ((sent - block.length) >> 23)) {
						record.line("%s has sent %d MB", this.replica.id, sent >> 20);
					}
				}
			}
			finally {
				record.line("the caller closed after %d MB", sent >> 20);
			}
		}

		void write(String text) throws IOException {
			OutputStream out = this.socket.getOutputStream();
			out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
		}

		void chunk(String text) throws IOException {
			write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}

		static void pause(long millis) {
			try {
				Thread.sleep(millis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
