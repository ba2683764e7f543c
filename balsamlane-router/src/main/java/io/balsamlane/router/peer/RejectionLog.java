package io.balsamlane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Log and counters of rejected messages. It logs each reason at most once per interval,
 * so that a peer that sends malformed data cannot flood the log.
 */
final class RejectionLog {

	private static final Logger logger = System.getLogger(RejectionLog.class.getName());

	private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final Map<Reason, Counter> counters = new EnumMap<>(Reason.class);

	RejectionLog() {
		for (Reason reason : Reason.values()) {
			this.counters.put(reason, new Counter());
		}
	}

	synchronized void record(Reason reason, Object from) {
		Counter counter = this.counters.get(reason);
		counter.total++;
		long nowNanos = System.nanoTime();
		if (counter.logged == 0 || nowNanos - counter.loggedNanos >= INTERVAL_NANOS) {
			logger.log(Level.WARNING, "Rejected {0} message(s) from {1} and others: {2}",
					counter.total - counter.logged, from, reason.message);
			counter.logged = counter.total;
			counter.loggedNanos = nowNanos;
		}
	}

	synchronized long count(Reason reason) {
		return this.counters.get(reason).total;
	}

	/**
	 * Reason for rejecting a message or a connection.
	 */
	enum Reason {

		UNAUTHENTICATED("invalid message authentication code; configure the same [peer] key on all routers"),

		MALFORMED("message cannot be parsed"),

		VERSION("unsupported protocol version; complete the update of all routers"),

		OVERSIZED("frame is longer than [peer] max_frame_bytes"),

		BUSY("too many connections or requests in progress");

		private final String message;

		Reason(String message) {
			this.message = message;
		}

	}

	private static final class Counter {

		private long total;

		private long logged;

		private long loggedNanos;

	}

}
