package io.balsamlane.bench.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;

/**
 * What the callers of one load saw.
 *
 * @param results the requests in the order of their ends
 * @param startNanos start of the load, as {@link System#nanoTime()}
 * @param lastSendNanos time of the last arrival
 * @param endNanos time of the last end
 * @param generatorCores cores that the load tool itself used, on average
 * @param generatorLagMillis 99th percentile of the time by which requests were sent late
 */
public record LoadReport(List<CallResult> results, long startNanos, long lastSendNanos, long endNanos,
		double generatorCores, double generatorLagMillis) {

	private static final long HIGHEST_NANOS = 600_000_000_000L;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Returns the report of some of the requests only.
	 * @param wanted selects the requests
	 * @return the narrowed report
	 */
	public LoadReport only(Predicate<CallResult> wanted) {
		return new LoadReport(this.results.stream().filter(wanted).toList(), this.startNanos, this.lastSendNanos,
				this.endNanos, this.generatorCores, this.generatorLagMillis);
	}

	/**
	 * Counts the requests with an outcome.
	 * @param outcome the outcome
	 * @return the number of requests
	 */
	public long count(CallResult.Outcome outcome) {
		return this.results.stream().filter((result) -> result.outcome() == outcome).count();
	}

	/**
	 * Counts the requests that were answered within both targets.
	 * @param targets the targets
	 * @return the number of requests
	 */
	public long good(CallResult.Targets targets) {
		return this.results.stream().filter((result) -> result.good(targets)).count();
	}

	/**
	 * Returns the share of the requests that were answered within both targets.
	 * @param targets the targets
	 * @return the share, 1 without requests
	 */
	public double goodShare(CallResult.Targets targets) {
		return this.results.isEmpty() ? 1 : (double) good(targets) / this.results.size();
	}

	/**
	 * Counts refusals and errors by kind.
	 * @return the counts, ordered by kind
	 */
	public Map<String, Long> errorKinds() {
		return this.results.stream()
			.filter((result) -> !result.errorKind().isEmpty())
			.collect(Collectors.groupingBy(CallResult::errorKind, TreeMap::new, Collectors.counting()));
	}

	/**
	 * Returns the distribution of the time to the first token of complete answers.
	 * @return the distribution, in nanoseconds
	 */
	public Histogram firstToken() {
		return histogram(CallResult::firstTokenNanos);
	}

	/**
	 * Returns the distribution of the answers' mean time between tokens.
	 * @return the distribution, in nanoseconds
	 */
	public Histogram meanGap() {
		return histogram(CallResult::meanGapNanos);
	}

	/**
	 * Returns the distribution of the answers' 95th percentile of the time between
	 * tokens.
	 * @return the distribution, in nanoseconds
	 */
	public Histogram p95Gap() {
		return histogram(CallResult::p95GapNanos);
	}

	/**
	 * Returns the distribution of the time from the due time to the end of the answer.
	 * @return the distribution, in nanoseconds
	 */
	public Histogram total() {
		return histogram((result) -> result.endNanos() - result.call().dueNanos());
	}

	private Histogram histogram(ToLongFunction<CallResult> value) {
		Histogram histogram = new Histogram(HIGHEST_NANOS, 3);
		this.results.stream()
			.filter((result) -> result.outcome() == CallResult.Outcome.COMPLETE)
			.mapToLong(value)
			.forEach((nanos) -> histogram.recordValue(Math.min(HIGHEST_NANOS, Math.max(0, nanos))));
		return histogram;
	}

	/**
	 * Returns the tokens that all callers received, per second of the arrivals.
	 * @return the rate, in tokens/s
	 */
	public double tokensPerSecond() {
		return this.results.stream().mapToLong(CallResult::tokens).sum() / seconds();
	}

	/**
	 * Returns the time over which requests were sent.
	 * @return the time, in seconds
	 */
	public double seconds() {
		return Math.max(1, this.lastSendNanos - this.startNanos) / NANOS_PER_SECOND;
	}

}
