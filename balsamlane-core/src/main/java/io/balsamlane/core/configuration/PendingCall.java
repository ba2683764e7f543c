package io.balsamlane.core.configuration;

/**
 * State of an asynchronous call of a {@link ConfigurationTracker}, which may be pending.
 */
final class PendingCall {

	private boolean pending;

	private long startNanos;

	void start(long nowNanos) {
		this.pending = true;
		this.startNanos = nowNanos;
	}

	void end() {
		this.pending = false;
	}

	boolean pending() {
		return this.pending;
	}

	/**
	 * Abandon the call if it has been pending for longer than a timeout.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @param timeoutNanos the timeout in nanoseconds
	 * @return {@code true} if this invocation abandoned the call
	 */
	boolean expire(long nowNanos, long timeoutNanos) {
		boolean expired = this.pending && nowNanos - this.startNanos > timeoutNanos;
		if (expired) {
			this.pending = false;
		}
		return expired;
	}

}
