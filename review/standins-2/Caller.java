package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Sends one request on a new connection, as a client of the platform does. */
final class Caller {

	private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffff);

	private final Recorder record;

	Caller(Recorder record) {
		this.record = record;
	}

	/**
	 * What a client received.
	 *
	 * @param status the status, 0 if no response arrived
	 * @param body the body
	 * @param signature the replica's signature, or null
	 */
	record Answer(int status, String body, String signature) {

		boolean success() {
			return this.status / 100 == 2 && this.signature != null;
		}

	}

	Answer send(InetSocketAddress front, String method, String host, String path, int deadlineMillis) {
		String id = Long.toHexString(IDS.incrementAndGet());
		String request = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Balsamlane-Request-Id: " + id
				+ "\r\nX-Balsamlane-Deadline-Ms: " + deadlineMillis + "\r\n"
				+ (method.equals("POST") ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
		Answer answer;
		try (Socket socket = new Socket()) {
			socket.connect(front, 1000);
			socket.setSoTimeout(deadlineMillis + 500);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			Http.Message response = Http.read(socket.getInputStream(), true);
			answer = (response != null && response.complete())
					? new Answer(response.status(), response.text(), response.header("X-Balsamlane-Server-Signature"))
					: new Answer(0, "no complete response", null);
		}
		catch (IOException ex) {
			answer = new Answer(0, ex.toString(), null);
		}
		this.record.line("client: " + id + " " + method + " " + path + " to " + front.getAddress().getHostAddress()
				+ " -> " + answer.status() + ((answer.success()) ? " " + answer.body() : ""));
		return answer;
	}

}
