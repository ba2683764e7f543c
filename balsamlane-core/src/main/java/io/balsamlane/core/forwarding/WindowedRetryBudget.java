package io.balsamlane.core.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Bounds the repeated requests to one service in any window of time to a share of its
 * requests and a fixed part. Not safe for use by several threads.
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
	 * Creates a budget.
	 * @param share repeated requests for each request of callers
	 * @param fixed returns the repeated requests in each window beyond that
	 * @param windowNanos length of the window
	 * @return the budget
	 */
	public static WindowedRetryBudget create(double share, DoubleSupplier fixed, long windowNanos) {
		return new WindowedRetryBudget(share, fixed, windowNanos);
	}

	/**
	 * Notes a request of a caller.
	 * @param nowNanos the monotonic time
	 */
	public void requested(long nowNanos) {
		expire(this.requests, nowNanos);
		this.requests.addLast(nowNanos);
	}

	/**
	 * Takes one repeated request.
	 * @param nowNanos the monotonic time
	 * @return false if the budget of the window is used up
	 */
	public boolean take(long nowNanos) {
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
