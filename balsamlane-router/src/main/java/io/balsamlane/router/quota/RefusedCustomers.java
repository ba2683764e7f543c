package io.balsamlane.router.quota;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.HostName;
import io.vertx.core.Vertx;

/**
 * Reports when requests of a customer start and stop to be refused.
 */
final class RefusedCustomers {

	/** Refusals that are closer together are reported as one. */
	private static final long QUIET_MILLIS = 2000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Limit on the customers of a configuration. */
	private static final int MAX_CUSTOMERS = 4096;

	private final Vertx vertx;

	private final QuotaListener listener;

	private final Map<CustomerId, Refusals> refused = new LinkedHashMap<>();

	private long timer = -1;

	RefusedCustomers(Vertx vertx, QuotaListener listener) {
		this.vertx = vertx;
		this.listener = listener;
	}

	void record(CustomerId customer, Optional<HostName> decidedBy, long viewAgeMillis) {
		long nowNanos = System.nanoTime();
		Refusals refusals = this.refused.get(customer);
		if (refusals == null) {
			if (this.refused.size() >= MAX_CUSTOMERS) {
				return;
			}
			refusals = new Refusals(nowNanos);
			this.refused.put(customer, refusals);
			this.listener.refusalsStarted(customer, decidedBy, viewAgeMillis);
		}
		refusals.lastNanos = nowNanos;
		refusals.count++;
		// The timer runs only while a customer is refused.
		if (this.timer < 0) {
			this.timer = this.vertx.setPeriodic(QUIET_MILLIS / 2, (id) -> expire());
		}
	}

	private void expire() {
		long nowNanos = System.nanoTime();
		this.refused.entrySet().removeIf((entry) -> {
			Refusals refusals = entry.getValue();
			boolean ended = nowNanos - refusals.lastNanos >= QUIET_MILLIS * NANOS_PER_MILLI;
			if (ended) {
				this.listener.refusalsEnded(entry.getKey(), refusals.count,
						(refusals.lastNanos - refusals.firstNanos) / NANOS_PER_MILLI);
			}
			return ended;
		});
		if (this.refused.isEmpty()) {
			stop();
		}
	}

	void stop() {
		this.vertx.cancelTimer(this.timer);
		this.timer = -1;
	}

	private static final class Refusals {

		private final long firstNanos;

		private long lastNanos;

		private long count;

		Refusals(long firstNanos) {
			this.firstNanos = firstNanos;
		}

	}

}
