package io.balsamlane.core.retry;

import java.util.OptionalLong;

import org.HdrHistogram.Histogram;

/**
 * Learns a quantile of recent latencies. Not safe for use by several threads.
 */
public final class LatencyQuantile {

	private static final int MIN_SAMPLES = 20;

	private static final int WINDOW_SAMPLES = 512;

	private static final int SIGNIFICANT_DIGITS = 2;

	private final double percentile;

	private Histogram present = new Histogram(SIGNIFICANT_DIGITS);

	private Histogram previous = new Histogram(SIGNIFICANT_DIGITS);

	private LatencyQuantile(double percentile) {
		this.percentile = percentile;
	}

	/**
	 * Creates a quantile without samples.
	 * @param percentile the percentile, 0 to 100
	 * @return the quantile
	 */
	public static LatencyQuantile create(double percentile) {
		return new LatencyQuantile(percentile);
	}

	/**
	 * Adds a latency.
	 * @param nanos the latency, in nanoseconds
	 */
	public void add(long nanos) {
		this.present.recordValue(Math.max(1, nanos / 1000));
		if (this.present.getTotalCount() >= WINDOW_SAMPLES) {
			this.previous = this.present;
			this.present = new Histogram(SIGNIFICANT_DIGITS);
		}
	}

	/**
	 * Returns the quantile of the last full window, or of the first one so far.
	 * @return the latency in nanoseconds, empty with too few samples
	 */
	public OptionalLong nanos() {
		Histogram source = (this.previous.getTotalCount() > 0) ? this.previous : this.present;
		return (source.getTotalCount() < MIN_SAMPLES) ? OptionalLong.empty()
				: OptionalLong.of(source.getValueAtPercentile(this.percentile) * 1000);
	}

}
