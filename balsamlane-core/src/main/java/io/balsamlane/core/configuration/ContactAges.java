package io.balsamlane.core.configuration;

import java.util.concurrent.TimeUnit;

/**
 * When a node last heard from the store and from its peers. A node that has just started
 * counts as having heard from both.
 */
final class ContactAges {

	private long lastPeerNanos;

	private long lastStoreNanos;

	private long freshestStoreNanos;

	ContactAges(long nowNanos) {
		this.lastPeerNanos = nowNanos;
		this.lastStoreNanos = nowNanos;
		this.freshestStoreNanos = nowNanos;
	}

	void heardPeer(long nowNanos) {
		this.lastPeerNanos = nowNanos;
	}

	void heardStore(long nowNanos) {
		this.lastStoreNanos = nowNanos;
		this.freshestStoreNanos = nowNanos;
	}

	void heardOfPeer(long nowNanos, long ageMillis) {
		this.lastPeerNanos = later(this.lastPeerNanos, nowNanos, ageMillis);
	}

	void heardOfStore(long nowNanos, long ageMillis) {
		this.freshestStoreNanos = later(this.freshestStoreNanos, nowNanos, ageMillis);
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

	long freshestStoreNanos() {
		return this.freshestStoreNanos;
	}

}
