package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A replica of a plain service that registers itself in the store. */
final class Replica {

	private static final long HEARTBEAT_MILLIS = 1200;

	private final Recorder record;

	private final Store store;

	private final String id;

	private final String service;

	private final long bornMillis = System.currentTimeMillis();

	private final ServerSocket socket;

	private volatile Responder responder;

	private long seq;

	private Replica(Recorder record, Store store, String id, String service, ServerSocket socket) {
		this.record = record;
		this.store = store;
		this.id = id;
		this.service = service;
		this.socket = socket;
	}

	static Replica start(Recorder record, Store store, String id, String service) throws IOException {
		Replica replica = new Replica(record, store, id, service,
				new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1")));
		Store.daemon(id, replica::accept);
		Store.daemon(id + "-heartbeat", replica::register);
		return replica;
	}

	/** Answers requests in place of the replica's usual answer. */
	interface Responder {

		/**
		 * Answers a request.
		 * @return false if the connection ends with the answer
		 */
		boolean respond(Replica replica, Http.Message request, Socket connection) throws Exception;

	}

	void setResponder(Responder responder) {
		this.responder = responder;
	}

	String id() {
		return this.id;
	}

	private void register() throws InterruptedException {
		// The replicas do not write at the same moment.
		Thread.sleep(Math.floorMod(this.id.hashCode() * 97L, HEARTBEAT_MILLIS));
		while (true) {
			write();
			for (int step = 0; step < HEARTBEAT_MILLIS / 100; step++) {
				Thread.sleep(100);
				// What was lost with the store is written again.
				if (!this.store.isAway() && !this.store.contains("servers/" + this.id)) {
					break;
				}
			}
		}
	}

	private synchronized void write() {
		this.store.put("servers/" + this.id,
				Json.of("service", this.service, "address", "127.0.0.1:" + this.socket.getLocalPort(), "zone", "zone-a",
						"version", "v1", "slots", 6, "state", "ready", "cold_left_ms", 0, "seq", ++this.seq, "born",
						this.bornMillis));
	}

	private void accept() throws IOException {
		while (true) {
			Socket connection = this.socket.accept();
			connection.setTcpNoDelay(true);
			Store.daemon(this.id + "-connection", () -> serve(connection));
		}
	}

	private void serve(Socket connection) throws Exception {
		try (connection) {
			InputStream in = connection.getInputStream();
			OutputStream out = connection.getOutputStream();
			while (true) {
				Http.Message request = Http.read(in, false);
				if (request == null || !request.complete()) {
					return;
				}
				String requestId = request.header("X-Balsamlane-Request-Id");
				String expected = request.header("X-Balsamlane-Expected-Instance");
				if (expected != null && !expected.equals(this.id)) {
					out.write(Http.response(421, Json.headers("X-Balsamlane-Instance-Id", this.id), new byte[0]));
					continue;
				}
				Thread.sleep(5);
				this.record.line("replica " + this.id + " of " + this.service + ": ran " + requestId + " "
						+ request.start());
				Map<String, String> headers = Json.headers("X-Balsamlane-Server-Signature", this.id + "." + requestId);
				Responder special = this.responder;
				if (special != null) {
					if (!special.respond(this, request, connection)) {
						return;
					}
					continue;
				}
				if (requestId != null) {
					headers.put("X-Balsamlane-Request-Id", requestId);
				}
				out.write(Http.response(200, headers,
						(this.service + " " + requestId).getBytes(StandardCharsets.UTF_8)));
			}
		}
	}

}
