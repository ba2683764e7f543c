package io.balsamlane.core.forwarding;

/**
 * Deadlines of a stream that waits for capacity on an engine, in nanoseconds of a
 * monotonic clock.
 * <p>
 * During a load peak prompts queue on the engines as well. A stream that is placed at the
 * last moment at which an idle engine could start it in time is late and displaces a
 * stream that could be on time. Half of the target is therefore reserved for the start.
 *
 * @param onTimeUntilNanos latest placement time at which the stream can be on time
 * @param refuseAtNanos time at which the stream is rejected
 */
public record QueueDeadlines(long onTimeUntilNanos, long refuseAtNanos) {

	/**
	 * Share of the target reserved for the start of a stream, see docs/decisions/0007.
	 */
	private static final double START_SHARE = 0.5;

	/** Time that a stream of average length takes, reserved when the wait ends. */
	private static final long TYPICAL_STREAM_MILLIS = 4000;

	/**
	 * Time reserved for the start of a stream when the wait ends: prefill under load and
	 * network latency.
	 */
	private static final long START_MARGIN_MILLIS = 800;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Compute the deadlines of a stream that has not delivered an event.
	 * @param route its route
	 * @param arrivedNanos when it arrived
	 * @param nowNanos the present time
	 * @param remainingMillis time until its caller gives up, in milliseconds
	 * @return the deadlines
	 */
	public static QueueDeadlines forNewStream(ForwardingRoute route, long arrivedNanos, long nowNanos,
			long remainingMillis) {
		return of(route, arrivedNanos, nowNanos, remainingMillis - TYPICAL_STREAM_MILLIS);
	}

	/**
	 * Compute the deadlines of a stream that was interrupted after an event. Its caller
	 * measures the pause from the last event.
	 * @param route its route
	 * @param nowNanos the present time
	 * @param remainingMillis time until its caller gives up, in milliseconds
	 * @return the deadlines
	 */
	public static QueueDeadlines forInterruptedStream(ForwardingRoute route, long nowNanos, long remainingMillis) {
		return of(route, nowNanos, nowNanos, remainingMillis);
	}

	private static QueueDeadlines of(ForwardingRoute route, long sinceNanos, long nowNanos, long leftMillis) {
		long onTimeUntilNanos = sinceNanos + Math.round(route.targetMillis() * (1 - START_SHARE)) * NANOS_PER_MILLI;
		long eventTimeoutNanos = sinceNanos
				+ (route.callerEventTimeoutMillis() - START_MARGIN_MILLIS) * NANOS_PER_MILLI;
		return new QueueDeadlines(onTimeUntilNanos,
				Math.max(nowNanos, Math.min(eventTimeoutNanos, nowNanos + leftMillis * NANOS_PER_MILLI)));
	}

	/**
	 * Return whether no time to wait is left.
	 * @param nowNanos the present time
	 * @return true if the stream is rejected immediately
	 */
	public boolean expired(long nowNanos) {
		return this.refuseAtNanos - nowNanos <= 0;
	}

}
