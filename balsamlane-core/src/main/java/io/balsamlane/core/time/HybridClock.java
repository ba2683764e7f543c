package io.balsamlane.core.time;

/**
 * Hybrid logical clock: orders an event after every event that could have caused it,
 * without synchronized clocks.
 * <p>
 * A time holds physical milliseconds in its upper 48 bits and a counter in its lower 16.
 * Source: Kulkarni et al., Logical Physical Clocks, 2014. Not safe for use by several
 * threads.
 */
public final class HybridClock {

	private static final int COUNTER_BITS = 16;

	private long last;

	private HybridClock() {
	}

	/**
	 * Creates a clock.
	 * @return the clock
	 */
	public static HybridClock create() {
		return new HybridClock();
	}

	/**
	 * Returns the time of a local event.
	 * @param epochMillis wall-clock time, in milliseconds since 1970
	 * @return a time above all earlier ones
	 */
	public long tick(long epochMillis) {
		this.last = Math.max(this.last + 1, epochMillis << COUNTER_BITS);
		return this.last;
	}

	/**
	 * Returns the time of the receipt of a message.
	 * @param remote time in the message
	 * @param epochMillis wall-clock time, in milliseconds since 1970
	 * @return a time above all earlier ones and above the message's
	 */
	public long merge(long remote, long epochMillis) {
		this.last = Math.max(this.last, remote);
		return tick(epochMillis);
	}

	/**
	 * Returns the physical part of a time.
	 * @param hybridTime the time
	 * @return milliseconds since 1970
	 */
	public static long epochMillis(long hybridTime) {
		return hybridTime >>> COUNTER_BITS;
	}

}
