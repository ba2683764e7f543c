import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * TCP proxy that can make its open connections silent for good: both ends stay open and
 * no byte passes any more, while new connections work.
 */
final class Proxy {

	final String address;

	final int port;

	private final InetSocketAddress target;

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	Proxy(String address, String targetAddress, int targetPort) throws IOException {
		this.address = address;
		this.port = Loopback.freePort(address);
		this.target = new InetSocketAddress(targetAddress, targetPort);
		ServerSocket listener = new ServerSocket();
		listener.bind(new InetSocketAddress(InetAddress.getByName(address), this.port), 256);
		Replica.thread(() -> {
			while (true) {
				Socket caller = listener.accept();
				Replica.thread(() -> open(caller));
			}
		});
	}

	private void open(Socket caller) throws IOException {
		Socket there = new Socket();
		there.connect(this.target, 1000);
		caller.setTcpNoDelay(true);
		there.setTcpNoDelay(true);
		Link link = new Link();
		this.links.add(link);
		Replica.thread(() -> copy(link, caller, there));
		copy(link, there, caller);
	}

	private void copy(Link link, Socket from, Socket to) throws IOException {
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] bytes = new byte[1 << 16];
			for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
				if (!link.silent) {
					out.write(bytes, 0, count);
					out.flush();
				}
			}
		}
		finally {
			if (link.silent) {
				// The other end hears nothing of the close either.
				from.close();
			}
			else {
				this.links.remove(link);
				from.close();
				to.close();
			}
		}
	}

	/** Makes all open connections silent and returns their number. */
	int silence() {
		this.links.forEach((link) -> link.silent = true);
		int count = this.links.size();
		this.links.clear();
		return count;
	}

	private static final class Link {

		private volatile boolean silent;

	}

}
