package io.balsamlane.bench.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;

/**
 * Results of one load as its customers saw them.
 *
 * @param results results of the requests, in the order in which they ended
 * @param startNanos start of the load, as {@link System#nanoTime()}
 * @param lastSendNanos time at which the last request was sent, as
 * {@link System#nanoTime()}
 * @param endNanos time at which the load ended, as {@link System#nanoTime()}
 * @param generatorCores mean number of cores that the load generator itself used
 * @param generatorLagMillis 99th percentile of the delay between due time and sending, in
 * milliseconds
 */
public record LoadReport(List<CallResult> results, long startNanos, long lastSendNanos, long endNanos,
		double generatorCores, double generatorLagMillis) {

	private static final long HIGHEST_NANOS = 600_000_000_000L;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Return a report restricted to the selected requests.
	 * @param wanted selects the requests
	 * @return the restricted report
	 */
	public LoadReport only(Predicate<CallResult> wanted) {
		return new LoadReport(this.results.stream().filter(wanted).toList(), this.startNanos, this.lastSendNanos,
				this.endNanos, this.generatorCores, this.generatorLagMillis);
	}

	/**
	 * Count the requests with the given outcome.
	 * @param outcome the outcome
	 * @return the number of requests
	 */
	public long count(CallResult.Outcome outcome) {
		return this.results.stream().filter((result) -> result.outcome() == outcome).count();
	}

	/**
	 * Count the requests that were answered within both latency targets.
	 * @param targets the latency targets
	 * @return the number of requests
	 */
	public long good(CallResult.Targets targets) {
		return this.results.stream().filter((result) -> result.good(targets)).count();
	}

	/**
	 * Return the share of the requests that were answered within both latency targets.
	 * @param targets the latency targets
	 * @return the share, from 0 to 1; 0 if there are no requests
	 */
	public double goodShare(CallResult.Targets targets) {
		return (double) good(targets) / Math.max(1, this.results.size());
	}

	/**
	 * Count refusals and errors by kind.
	 * @return the counts, ordered by kind
	 */
	public Map<String, Long> errorKinds() {
		return this.results.stream()
			.filter((result) -> !result.errorKind().isEmpty())
			.collect(Collectors.groupingBy(CallResult::errorKind, TreeMap::new, Collectors.counting()));
	}

	/**
	 * Return the distribution of the time to the first token of complete answers.
	 * @return the distribution, in nanoseconds
	 */
	public Histogram firstToken() {
		return histogram(CallResult::firstTokenNanos);
	}

	/**
	 * Return the distribution of the answers' mean time between tokens.
	 * @return the distribution, in nanoseconds
	 */
	public Histogram meanGap() {
		return histogram(CallResult::meanGapNanos);
	}

	/**
	 * Return the distribution of the answers' 95th percentile of the time between tokens.
	 * @return the distribution, in nanoseconds
	 */
	public Histogram p95Gap() {
		return histogram(CallResult::p95GapNanos);
	}

	/**
	 * Return the distribution of the time from the due time to the end of the answer.
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
	 * Return the rate of tokens that all customers received, over the time in which
	 * requests were sent.
	 * @return the rate, in tokens/s
	 */
	public double tokensPerSecond() {
		return this.results.stream().mapToLong(CallResult::tokens).sum() / seconds();
	}

	/**
	 * Return the time over which requests were sent.
	 * @return the time, in seconds
	 */
	public double seconds() {
		return Math.max(1, this.lastSendNanos - this.startNanos) / NANOS_PER_SECOND;
	}

}
