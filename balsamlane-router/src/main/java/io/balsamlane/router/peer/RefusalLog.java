package io.balsamlane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Counts refused messages and logs each kind at most once per interval, so that a peer
 * that sends garbage cannot fill the log.
 */
final class RefusalLog {

	private static final Logger logger = System.getLogger(RefusalLog.class.getName());

	private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final Map<Kind, Counter> counters = new EnumMap<>(Kind.class);

	RefusalLog() {
		for (Kind kind : Kind.values()) {
			this.counters.put(kind, new Counter());
		}
	}

	synchronized void refused(Kind kind, Object from) {
		Counter counter = this.counters.get(kind);
		counter.total++;
		long nowNanos = System.nanoTime();
		if (counter.logged == 0 || nowNanos - counter.loggedNanos >= INTERVAL_NANOS) {
			logger.log(Level.WARNING, "Refused {0} message(s) from {1} and others: {2}", counter.total - counter.logged,
					from, kind.message);
			counter.logged = counter.total;
			counter.loggedNanos = nowNanos;
		}
	}

	synchronized long count(Kind kind) {
		return this.counters.get(kind).total;
	}

	/**
	 * Reason of a refusal.
	 */
	enum Kind {

		KEY("no valid code; give all routers the same [peer] key"),

		GARBAGE("cannot be parsed"),

		VERSION("another version of the protocol; finish the update of all routers"),

		OVERSIZE("longer than [peer] max_frame_bytes"),

		BUSY("too many connections or requests in progress");

		private final String message;

		Kind(String message) {
			this.message = message;
		}

	}

	private static final class Counter {

		private long total;

		private long logged;

		private long loggedNanos;

	}

}
