package io.balsamlane.core.retry;

import java.util.OptionalLong;

import org.HdrHistogram.Histogram;

/**
 * Estimates a quantile of recent latencies over windows of a fixed number of samples.
 * This class is not thread-safe.
 */
public final class LatencyQuantile {

	private static final int MIN_SAMPLES = 20;

	private static final int WINDOW_SAMPLES = 512;

	private static final int SIGNIFICANT_DIGITS = 2;

	private final double percentile;

	private Histogram currentWindow = new Histogram(SIGNIFICANT_DIGITS);

	private Histogram previousWindow = new Histogram(SIGNIFICANT_DIGITS);

	private LatencyQuantile(double percentile) {
		this.percentile = percentile;
	}

	/**
	 * Create an estimator without samples.
	 * @param percentile the percentile to estimate, 0 to 100
	 * @return the estimator
	 */
	public static LatencyQuantile create(double percentile) {
		return new LatencyQuantile(percentile);
	}

	/**
	 * Add a latency sample. It is recorded in microseconds.
	 * @param nanos the latency, in nanoseconds
	 */
	public void add(long nanos) {
		this.currentWindow.recordValue(Math.max(1, nanos / 1000));
		if (this.currentWindow.getTotalCount() >= WINDOW_SAMPLES) {
			this.previousWindow = this.currentWindow;
			this.currentWindow = new Histogram(SIGNIFICANT_DIGITS);
		}
	}

	/**
	 * Return the quantile of the last complete window, or of the first window while it is
	 * still being filled.
	 * @return the latency in nanoseconds, empty with fewer than {@value #MIN_SAMPLES}
	 * samples
	 */
	public OptionalLong nanos() {
		Histogram source = (this.previousWindow.getTotalCount() > 0) ? this.previousWindow : this.currentWindow;
		return (source.getTotalCount() < MIN_SAMPLES) ? OptionalLong.empty()
				: OptionalLong.of(source.getValueAtPercentile(this.percentile) * 1000);
	}

}
