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

	void heardOfStore(long nowNanos, long ageMillis) {
		long heardNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
		if (heardNanos - this.freshestStoreNanos > 0) {
			this.freshestStoreNanos = heardNanos;
		}
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
