package io.balsamlane.core.forwarding;

/**
 * Bounds of a stream's wait for room on an engine, in nanoseconds of a monotonic clock.
 * <p>
 * It answers a crest in which prompts queue as well as streams: a stream that is placed
 * at the last moment at which an idle engine could start it is late and takes the place
 * of one that is not. Half of the target is therefore left for the start.
 *
 * @param onTimeUntilNanos time until which a stream that is placed can be on time
 * @param giveUpNanos time at which the stream is refused
 */
public record WaitTimes(long onTimeUntilNanos, long giveUpNanos) {

	/** Share of the target that is left for the start, see docs/decisions/0007. */
	private static final double START_SHARE = 0.5;

	/** Time that a stream of middle length takes, left when a wait ends. */
	private static final long TYPICAL_STREAM_MILLIS = 4000;

	/** Left for the start of a stream when a wait ends: a loaded prefill and paths. */
	private static final long START_MARGIN_MILLIS = 800;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Computes the bounds for a stream without an event.
	 * @param route its route
	 * @param arrivedNanos when it arrived
	 * @param nowNanos the present time
	 * @param remainingMillis time until its caller gives up, in milliseconds
	 * @return the bounds
	 */
	public static WaitTimes ofNew(ForwardingRoute route, long arrivedNanos, long nowNanos, long remainingMillis) {
		return of(route, arrivedNanos, nowNanos, remainingMillis - TYPICAL_STREAM_MILLIS);
	}

	/**
	 * Computes the bounds for a stream that broke off after an event. Its caller counts
	 * from the last event.
	 * @param route its route
	 * @param nowNanos the present time
	 * @param remainingMillis time until its caller gives up, in milliseconds
	 * @return the bounds
	 */
	public static WaitTimes ofBroken(ForwardingRoute route, long nowNanos, long remainingMillis) {
		return of(route, nowNanos, nowNanos, remainingMillis);
	}

	private static WaitTimes of(ForwardingRoute route, long sinceNanos, long nowNanos, long leftMillis) {
		long onTimeUntilNanos = sinceNanos + Math.round(route.targetMillis() * (1 - START_SHARE)) * NANOS_PER_MILLI;
		long patienceNanos = sinceNanos + (route.callerPatienceMillis() - START_MARGIN_MILLIS) * NANOS_PER_MILLI;
		return new WaitTimes(onTimeUntilNanos,
				Math.max(nowNanos, Math.min(patienceNanos, nowNanos + leftMillis * NANOS_PER_MILLI)));
	}

	/**
	 * Tells whether there is no time to wait.
	 * @param nowNanos the present time
	 * @return true if the stream is refused at once
	 */
	public boolean over(long nowNanos) {
		return this.giveUpNanos - nowNanos <= 0;
	}

}
