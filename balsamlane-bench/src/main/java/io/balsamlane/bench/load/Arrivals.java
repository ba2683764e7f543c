package io.balsamlane.bench.load;

import java.util.function.DoubleUnaryOperator;
import java.util.stream.LongStream;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generates open-loop arrival times, as offsets from the start of the load in
 * nanoseconds.
 */
public final class Arrivals {

	private static final double NANOS_PER_SECOND = 1e9;

	private Arrivals() {
	}

	/**
	 * Draw arrival times from a Poisson process of constant rate.
	 * @param random source of the inter-arrival times
	 * @param perSecond mean rate, in requests/s
	 * @param seconds duration of the load, in seconds
	 * @return the arrival times, ascending
	 */
	public static long[] poisson(UniformRandomProvider random, double perSecond, double seconds) {
		return thinned(random, (time) -> perSecond, perSecond, seconds);
	}

	/**
	 * Draw arrival times from a Poisson process whose rate triples at a given time.
	 * @param random source of the inter-arrival times
	 * @param perSecond mean rate before the step, in requests/s
	 * @param stepSecond time of the step, in seconds
	 * @param seconds duration of the load, in seconds
	 * @return the arrival times, ascending
	 */
	public static long[] threefoldStep(UniformRandomProvider random, double perSecond, double stepSecond,
			double seconds) {
		return thinned(random, (time) -> (time < stepSecond) ? perSecond : 3 * perSecond, 3 * perSecond, seconds);
	}

	private static long[] thinned(UniformRandomProvider random, DoubleUnaryOperator rate, double peakPerSecond,
			double seconds) {
		LongStream.Builder times = LongStream.builder();
		double time = 0;
		while (true) {
			time -= Math.log(1 - random.nextDouble()) / peakPerSecond;
			if (time >= seconds) {
				return times.build().toArray();
			}
			if (random.nextDouble() * peakPerSecond < rate.applyAsDouble(time)) {
				times.add((long) (time * NANOS_PER_SECOND));
			}
		}
	}

}
