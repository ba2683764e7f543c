import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ordinary load of the plain service: clients that send one request after the other on kept
 * connections to a sound replica.
 */
final class PlainLoad {

	final AtomicInteger answered = new AtomicInteger();

	/** Requests that reached the replica and whose connection ended without any answer. */
	final AtomicInteger lost = new AtomicInteger();

	private final Set<String> arrived = ConcurrentHashMap.newKeySet();

	private final Recorder record;

	private volatile boolean stopped;

	PlainLoad(Recorder record) {
		this.record = record;
	}

	/** Sound behaviour: runs each request for some time and answers it with about 800 bytes. */
	Replica.Behaviour replica(long workMillis) {
		return (connection) -> {
			Http.readBody(connection.in, connection.head);
			this.arrived.add(connection.requestId());
			Replica.sleep(workMillis);
			connection.respond(200, "receipt".repeat(115));
			return true;
		};
	}

	void start(Router router, String path, int callers) {
		for (int number = 0; number < callers; number++) {
			Replica.daemon(() -> {
				while (!this.stopped && router.alive()) {
					run(router, path);
					Replica.sleep(200);
				}
			});
		}
	}

	void stop() {
		this.stopped = true;
	}

	private void run(Router router, String path) {
		try (Caller caller = new Caller(router, 5000)) {
			while (!this.stopped) {
				String id = Caller.nextId();
				caller.send("POST", path, id, 2000, "pickup".getBytes());
				try {
					Caller.Response response = caller.read();
					this.answered.incrementAndGet();
					if (response.status() != 200) {
						this.record.line("plain request %s answered %d", id, response.status());
						Replica.sleep(100);
					}
				}
				catch (IOException ex) {
					boolean passedOn = this.arrived.contains(id);
					this.record.line("plain request %s not answered (%s); it %s the replica", id, ex.getMessage(),
							passedOn ? "had reached" : "had not reached");
					if (passedOn) {
						this.lost.incrementAndGet();
					}
					return;
				}
			}
		}
		catch (IOException ex) {
			// No connection: nothing was sent.
		}
	}

}
