import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for a replica: serves one request at a time on each connection. */
final class Replica {

	/** What a replica does with a request whose head it has read. */
	@FunctionalInterface
	interface Behaviour {

		/** Serve a request and return true if the connection goes on. */
		boolean serve(Connection connection) throws IOException, InterruptedException;

	}

	/** A connection with the head of its present request. */
	static final class Connection {

		final Replica replica;

		final Socket socket;

		final InputStream in;

		final OutputStream out;

		Http.Head head;

		Connection(Replica replica, Socket socket) throws IOException {
			this.replica = replica;
			this.socket = socket;
			this.in = new BufferedInputStream(socket.getInputStream(), 8192);
			this.out = socket.getOutputStream();
		}

		String requestId() {
			return this.head.header("X-Balsamlane-Request-Id");
		}

		boolean isPrefill() {
			return "prefill".equals(this.head.header("X-Balsamlane-Serving-Stage"));
		}

		void write(String text) throws IOException {
			this.out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

		/** Head of a response that bears the id of the request and the replica's signature. */
		String responseHead(int status) {
			return "HTTP/1.1 " + status + " Status\r\nX-Balsamlane-Request-Id: " + requestId()
					+ "\r\nX-Balsamlane-Server-Signature: " + this.replica.id + ".1\r\n";
		}

		void respond(int status, String body) throws IOException {
			write(responseHead(status) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
		}

	}

	final String id;

	final String service;

	final String zone;

	final String phase;

	private final ServerSocket listener;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private volatile Behaviour behaviour;

	Replica(String id, String service, String zone, String phase, Behaviour behaviour) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.phase = phase;
		this.behaviour = behaviour;
		this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		daemon(this::accept);
	}

	void setBehaviour(Behaviour next) {
		this.behaviour = next;
	}

	/** Stop listening and close all connections, as the end of the process does. */
	void exit() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	String entry(int seq) {
		return "{\"service\":\"" + this.service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + this.zone
				+ "\",\"version\":\"v1\",\"slots\":" + (this.phase.isEmpty() ? 6 : 64)
				+ ",\"state\":\"ready\",\"cold_left_ms\":0,"
				+ (this.phase.isEmpty() ? ""
						: "\"phase\":\"" + this.phase
								+ "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],")
				+ "\"born\":1700000000000,\"seq\":" + seq + "}";
	}

	/** Register in the store, and renew the entry about every heartbeat. */
	void register(Store store) {
		store.write("servers/" + this.id, entry(1));
		daemon(() -> {
			for (int seq = 2; true; seq++) {
				sleep(1200);
				store.write("servers/" + this.id, entry(seq));
			}
		});
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void daemon(Runnable task) {
		Thread thread = new Thread(null, task, "stand-in", 256 << 10);
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.listener.accept();
				daemon(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			this.sockets.add(socket);
			socket.setTcpNoDelay(true);
			Connection connection = new Connection(this, socket);
			while ((connection.head = Http.readHead(connection.in)) != null) {
				if (!serveControlCall(connection) && !this.behaviour.serve(connection)) {
					return;
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The router has closed the connection.
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private boolean serveControlCall(Connection connection) throws IOException {
		String target = connection.head.target();
		String body;
		if (target.equals("/health")) {
			connection.write("HTTP/1.1 200 OK\r\nX-Balsamlane-Instance-Id: " + this.id + "\r\nContent-Length: 0\r\n\r\n");
			return true;
		}
		if (target.equals("/v1/report")) {
			body = "{\"phase\":\"" + this.phase + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
					+ "\"in_flight\":false,\"seq\":0,\"waiting\":0,\"num_running\":0,\"kv_used\":0,\"kv_total\":33770,"
					+ "\"kv_handles\":0}";
		}
		else if (target.equals("/v1/order")) {
			// Another order is in progress.
			Http.readBody(connection.in, connection.head);
			connection.write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
			return true;
		}
		else if (target.startsWith("/v1/kv-handle/")) {
			body = "{}";
		}
		else {
			return false;
		}
		Http.readBody(connection.in, connection.head);
		connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body);
		return true;
	}

}
