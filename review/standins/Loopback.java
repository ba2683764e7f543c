import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Loopback addresses of one run and free ports on them. */
final class Loopback {

	private static final int BASE = ThreadLocalRandom.current().nextInt(16, 240);

	private static final int SECOND = ThreadLocalRandom.current().nextInt(1, 250);

	private Loopback() {
	}

	static String address(int host) {
		return "127." + BASE + "." + SECOND + "." + host;
	}

	/** Returns a port below the range of outgoing connections that is free at an address. */
	static int freePort(String address) {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(10_000, 30_000);
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(InetAddress.getByName(address), port));
				return port;
			}
			catch (IOException ex) {
				// The port is in use; another one is tried.
			}
		}
	}

}
