package io.balsamlane.core.time;

/**
 * Hybrid logical clock that orders an event after every event that may have caused it,
 * without requiring synchronized clocks.
 * <p>
 * A timestamp has the physical time in milliseconds in its upper 48 bits and a counter in
 * its lower 16 bits. Based on Kulkarni et al., Logical Physical Clocks, 2014. Not
 * thread-safe.
 */
public final class HybridClock {

	private static final int COUNTER_BITS = 16;

	private long last;

	private HybridClock() {
	}

	/**
	 * Create a clock.
	 * @return the new clock
	 */
	public static HybridClock create() {
		return new HybridClock();
	}

	/**
	 * Return the timestamp of a local event.
	 * @param epochMillis wall-clock time, in milliseconds since 1970
	 * @return a timestamp greater than all earlier ones
	 */
	public long tick(long epochMillis) {
		this.last = Math.max(this.last + 1, epochMillis << COUNTER_BITS);
		return this.last;
	}

	/**
	 * Return the timestamp of the receipt of a message.
	 * @param remote timestamp in the message
	 * @param epochMillis wall-clock time, in milliseconds since 1970
	 * @return a timestamp greater than all earlier ones and than the one in the message
	 */
	public long merge(long remote, long epochMillis) {
		this.last = Math.max(this.last, remote);
		return tick(epochMillis);
	}

	/**
	 * Return the physical time of a timestamp.
	 * @param hybridTime the timestamp
	 * @return the physical time in milliseconds since 1970
	 */
	public static long epochMillis(long hybridTime) {
		return hybridTime >>> COUNTER_BITS;
	}

}
