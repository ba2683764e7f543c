package io.balsamlane.core.overload;

/**
 * A load of the simulation.
 *
 * @param name name of the load
 * @param engines number of engines
 * @param perSecond requests a second outside the peak
 * @param peakFactor factor of all requests during the peak
 * @param crowdFactor factor of the requests of one customer during the peak
 * @param hotPlace whether one of six places receives twice its requests during the peak
 * @param slowShare share of the engines that are slow
 * @param slowFactor factor by which these are slower
 * @param promptTokens mean number of prompt tokens
 * @param outputTokens mean number of output tokens
 * @param millisPerToken time to decode one token
 */
record OverloadLoad(String name, int engines, double perSecond, double peakFactor, double crowdFactor, boolean hotPlace,
		double slowShare, double slowFactor, double promptTokens, double outputTokens, double millisPerToken) {

	static final long DURATION_MILLIS = 30_000;

	static final long PEAK_FROM_MILLIS = 10_000;

	static final long PEAK_TO_MILLIS = 18_000;

	/** The customer that exceeds its usual load. */
	static final int CROWD = 3;

	static OverloadLoad crowd(double factor) {
		return new OverloadLoad("crowd", 24, 80, 1, factor, false, 0, 1, 3200, 69, 4);
	}

	static OverloadLoad hotPlaceLoad() {
		return new OverloadLoad("hot place", 24, 90, 1, 1, true, 0, 1, 3200, 69, 4);
	}

	static OverloadLoad slowServers() {
		return new OverloadLoad("slow quarter", 24, 80, 1.3, 1, false, 0.25, 3, 3200, 69, 4);
	}

	static OverloadLoad memory() {
		return new OverloadLoad("memory", 46, 80, 1.8, 1, false, 0, 1, 3200, 840, 4);
	}

	// Two large customers, the crowd with a tenth, thirteen small ones.
	double[] customerShares() {
		double[] shares = new double[16];
		java.util.Arrays.fill(shares, 0.45 / 13);
		shares[0] = 0.25;
		shares[1] = 0.20;
		shares[CROWD] = 0.10;
		return shares;
	}

}
