package io.balsamlane.core.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries to one service in any time window to a share of its requests plus a
 * fixed allowance. Not thread-safe.
 */
public final class WindowedRetryBudget {

	private final double share;

	private final DoubleSupplier fixed;

	private final long windowNanos;

	private final Deque<Long> requests = new ArrayDeque<>();

	private final Deque<Long> repeats = new ArrayDeque<>();

	private WindowedRetryBudget(double share, DoubleSupplier fixed, long windowNanos) {
		this.share = share;
		this.fixed = fixed;
		this.windowNanos = windowNanos;
	}

	/**
	 * Create a budget.
	 * @param share retries allowed per request of callers
	 * @param fixed supplies the number of additional retries allowed in each window
	 * @param windowNanos length of the window in nanoseconds
	 * @return the budget
	 */
	public static WindowedRetryBudget create(double share, DoubleSupplier fixed, long windowNanos) {
		return new WindowedRetryBudget(share, fixed, windowNanos);
	}

	/**
	 * Record a request of a caller.
	 * @param nowNanos the monotonic time
	 */
	public void recordRequest(long nowNanos) {
		expire(this.requests, nowNanos);
		this.requests.addLast(nowNanos);
	}

	/**
	 * Try to acquire one retry.
	 * @param nowNanos the monotonic time
	 * @return false if the budget of the window is exhausted
	 */
	public boolean tryAcquire(long nowNanos) {
		expire(this.requests, nowNanos);
		expire(this.repeats, nowNanos);
		if (this.repeats.size() + 1 > this.share * this.requests.size() + this.fixed.getAsDouble()) {
			return false;
		}
		this.repeats.addLast(nowNanos);
		return true;
	}

	private void expire(Deque<Long> times, long nowNanos) {
		while (!times.isEmpty() && nowNanos - times.peekFirst() >= this.windowNanos) {
			times.removeFirst();
		}
	}

}
