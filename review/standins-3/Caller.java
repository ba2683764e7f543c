import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a client with one kept connection to a router. */
final class Caller implements AutoCloseable {

	private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffffL);

	private final Socket socket = new Socket();

	final InputStream in;

	private final OutputStream out;

	/** A complete response. */
	record Response(Http.Head head, byte[] body) {

		int status() {
			return this.head.status();
		}

	}

	Caller(Router router, int timeoutMillis) throws IOException {
		this(router, "127.0.0.1", timeoutMillis);
	}

	/** Connect from a loopback address. */
	Caller(Router router, String from, int timeoutMillis) throws IOException {
		this.socket.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
		this.socket.connect(new InetSocketAddress(router.address, router.frontPort), 1000);
		this.socket.setSoTimeout(timeoutMillis);
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(this.socket.getInputStream());
		this.out = this.socket.getOutputStream();
	}

	static String nextId() {
		return String.format("%016x", IDS.incrementAndGet());
	}

	void send(String method, String path, String id, int deadlineMillis, byte[] body, String... headers)
			throws IOException {
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n"
				+ "X-Balsamlane-Request-Id: " + id + "\r\nX-Balsamlane-Deadline-Ms: " + deadlineMillis + "\r\n");
		for (String header : headers) {
			head.append(header).append("\r\n");
		}
		if (!method.equals("GET")) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		this.out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
		this.out.write(body);
		this.out.flush();
	}

	/** Read a response; fails if the connection ends before it is complete. */
	Response read() throws IOException {
		Http.Head head = Http.readHead(this.in);
		if (head == null) {
			throw new IOException("closed without an answer");
		}
		return new Response(head, Http.readBody(this.in, head));
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
