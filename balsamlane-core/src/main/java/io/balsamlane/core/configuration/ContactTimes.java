package io.balsamlane.core.configuration;

import java.util.concurrent.TimeUnit;

/**
 * Records when a node last had contact with the store and with its peers. A newly started
 * node is treated as having just had contact with both. Times are monotonic, in
 * nanoseconds.
 */
final class ContactTimes {

	private long lastPeerNanos;

	private long lastStoreNanos;

	private long latestStoreContactNanos;

	ContactTimes(long nowNanos) {
		this.lastPeerNanos = nowNanos;
		this.lastStoreNanos = nowNanos;
		this.latestStoreContactNanos = nowNanos;
	}

	void recordPeerContact(long nowNanos) {
		this.lastPeerNanos = nowNanos;
	}

	void recordStoreContact(long nowNanos) {
		this.lastStoreNanos = nowNanos;
		this.latestStoreContactNanos = nowNanos;
	}

	void recordReportedPeerContact(long nowNanos, long ageMillis) {
		this.lastPeerNanos = later(this.lastPeerNanos, nowNanos, ageMillis);
	}

	void recordReportedStoreContact(long nowNanos, long ageMillis) {
		this.latestStoreContactNanos = later(this.latestStoreContactNanos, nowNanos, ageMillis);
	}

	private static long later(long knownNanos, long nowNanos, long ageMillis) {
		long knownAgeMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - knownNanos);
		return (ageMillis < knownAgeMillis) ? nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis) : knownNanos;
	}

	long lastPeerNanos() {
		return this.lastPeerNanos;
	}

	long lastStoreNanos() {
		return this.lastStoreNanos;
	}

	long lastContactNanos() {
		return (this.lastPeerNanos - this.lastStoreNanos > 0) ? this.lastPeerNanos : this.lastStoreNanos;
	}

	long latestStoreContactNanos() {
		return this.latestStoreContactNanos;
	}

}
