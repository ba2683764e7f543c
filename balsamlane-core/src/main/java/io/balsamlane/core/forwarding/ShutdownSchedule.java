package io.balsamlane.core.forwarding;

import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a router still accepts while it shuts down, and when those in
 * progress have to end. A request that is accepted is answered before the process exits:
 * it ends with an error at the latest when the time for requests is over.
 */
public final class ShutdownSchedule {

	/** Time in which the last responses reach their callers before connections close. */
	private static final long FLUSH_MILLIS = 200;

	/**
	 * Targets of a route for which there must be time. Streams under load take up to 3.6
	 * s with a target of 0.9 s for the first event.
	 */
	private static final long MIN_TARGETS = 5;

	private final long noticeNanos;

	private final long endNanos;

	private ShutdownSchedule(long noticeNanos, long endNanos) {
		this.noticeNanos = noticeNanos;
		this.endNanos = endNanos;
	}

	/**
	 * Create the schedule of a shutdown.
	 * @param nowNanos start of the shutdown on the monotonic clock
	 * @param noticeMillis time in which the load balancer notices, in milliseconds; until
	 * then callers have no other router to go to, so requests are accepted
	 * @param limitMillis time limit for the shutdown, in milliseconds
	 * @return the schedule
	 */
	public static ShutdownSchedule starting(long nowNanos, long noticeMillis, long limitMillis) {
		long requestMillis = Math.max(0, limitMillis - FLUSH_MILLIS);
		return new ShutdownSchedule(nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(noticeMillis, requestMillis)),
				nowNanos + TimeUnit.MILLISECONDS.toNanos(requestMillis));
	}

	/**
	 * Return whether to accept a request that has been read completely.
	 * @param route route of the request
	 * @param nowNanos current time on the monotonic clock
	 * @return false if the request probably cannot end in time
	 */
	public boolean accepts(ForwardingRoute route, long nowNanos) {
		if (nowNanos - this.noticeNanos < 0) {
			return true;
		}
		long neededMillis = (route.targetMillis() > 0)
				? Math.min(route.timeoutMillis(), MIN_TARGETS * route.targetMillis()) : route.timeoutMillis();
		return remainingMillis(nowNanos) >= neededMillis;
	}

	/**
	 * Return the time until all requests have to end.
	 * @param nowNanos current time on the monotonic clock
	 * @return the time in milliseconds, 0 if it is over
	 */
	public long remainingMillis(long nowNanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(this.endNanos - nowNanos));
	}

}
