import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Sends bookings and streams, and counts the requests that are still unanswered at their
 * route's timeout and half a second later.
 */
final class TimeoutCheck {

	private static final int TIMEOUT_MILLIS = 2000;

	private static final int DEADLINE_MILLIS = 3000;

	private static final int STREAM_TIMEOUT_MILLIS = 14_000;

	private static final int CLIENTS = 4;

	/** Fewer unanswered requests are not judged. */
	private static final int MIN_COUNTED = 8;

	private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

	private final Record record;

	private final List<Router> routers;

	TimeoutCheck(Record record, List<Router> routers) {
		this.record = record;
		this.routers = routers;
	}

	static List<String> routes() {
		return List.of(Site.route("r-notes", "/lohu930/", "streaming", "draft", STREAM_TIMEOUT_MILLIS, 900, 2, true),
				Site.route("r-pickups", "/puxa403/", "non_idempotent", "ledger", TIMEOUT_MILLIS, 486, 1, false));
	}

	/** Sends requests to all routers; the first client of each sends streams. */
	void run(int millis) throws InterruptedException {
		double untilSeconds = Record.seconds() + millis / 1000.0;
		for (Router router : this.routers) {
			for (int client = 0; client < CLIENTS; client++) {
				int number = client;
				Replica.thread(() -> send(router, number, untilSeconds));
			}
		}
		while (Record.seconds() < untilSeconds) {
			Thread.sleep(5000);
			for (Router router : this.routers) {
				this.record.line("%s: process runs %s, ready check %d", router.name, router.alive(),
						router.readiness());
			}
		}
	}

	private void send(Router router, int client, double untilSeconds) throws InterruptedException {
		boolean stream = client == 0;
		int timeoutMillis = stream ? STREAM_TIMEOUT_MILLIS : TIMEOUT_MILLIS;
		for (int number = 0; Record.seconds() < untilSeconds; number++) {
			String id = router.name + "-" + client + "-" + number;
			String more = stream ? "X-Balsamlane-Model-Name: m\r\nX-Balsamlane-Token-Count: 3200,70\r\n"
					+ "X-Balsamlane-Prefix-Hash: 5c1e07a2:200," + Long.toHexString(System.nanoTime()) + ":3000\r\n" : "";
			this.record.line("sent %s", id);
			double fromSeconds = Record.seconds();
			Router.Reply reply = router.call(Site.head("POST", stream ? "/lohu930/2f" : "/puxa403/2f", id,
					stream ? STREAM_TIMEOUT_MILLIS : DEADLINE_MILLIS, 5, more), "hello".getBytes(), timeoutMillis + 900);
			double tookMillis = (Record.seconds() - fromSeconds) * 1000;
			this.record.line("%s %s after %.0f ms", id, reply.outcome(), tookMillis);
			this.outcomes.add(new Outcome(tookMillis > timeoutMillis,
					tookMillis > timeoutMillis + 500 && reply.answer() == null));
			Thread.sleep(200);
		}
	}

	/** Returns the exit code: 1 if the rule was broken, 0 if it held. */
	int judge() {
		long late = this.outcomes.stream().filter(Outcome::unansweredAtTimeout).count();
		long never = this.outcomes.stream().filter(Outcome::unansweredLater).count();
		this.record.say("requests %d, unanswered at their route's timeout %d, of these without an answer 0.5 s later %d",
				this.outcomes.size(), late, never);
		boolean broken = late >= MIN_COUNTED && never * 2 > late;
		this.record.say(broken ? "CONFIG is broken" : "CONFIG held");
		return broken ? 1 : 0;
	}

	private record Outcome(boolean unansweredAtTimeout, boolean unansweredLater) {
	}

}
