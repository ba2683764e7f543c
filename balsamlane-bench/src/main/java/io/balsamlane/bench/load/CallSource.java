package io.balsamlane.bench.load;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.balsamlane.standin.engine.Prompt;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generates the requests of a workload. Equal seeds give equal requests.
 */
public final class CallSource {

	private static final int WORDS = 4096;

	private static final int LATEST_CANCEL_TOKENS = 15;

	private final Workload workload;

	private final UniformRandomProvider random;

	private final List<String> prefixes;

	private int next;

	private CallSource(Workload workload, UniformRandomProvider random) {
		this.workload = workload;
		this.random = random;
		this.prefixes = IntStream.range(0, workload.prefixes())
			.mapToObj((i) -> words(workload.prefixTokens()))
			.toList();
	}

	/**
	 * Create a source.
	 * @param workload the workload to generate
	 * @param random source of the prompts
	 * @return the source
	 */
	public static CallSource create(Workload workload, UniformRandomProvider random) {
		return new CallSource(workload, random);
	}

	/**
	 * Return the next request.
	 * @param dueNanos time at which the request is due, as {@link System#nanoTime()}
	 * @return the request
	 */
	public ModelCall next(long dueNanos) {
		int index = this.next++;
		String token = this.workload.callers().get(this.random.nextInt(this.workload.callers().size()));
		int own = Math.max(1, ownTokens());
		String prefix = this.prefixes.isEmpty() ? "" : this.prefixes.get(this.random.nextInt(this.prefixes.size()));
		// The index makes each prompt, and therefore each answer, unique.
		String text = prefix + "n" + index + " " + words(own - 1);
		Prompt parsed = Prompt.parse(text);
		return new ModelCall(index, dueNanos, this.workload.model(), token, text, parsed.tokens(), own,
				this.workload.maxTokens(), parsed.answer(this.workload.maxTokens()), cancelAfterTokens());
	}

	private int cancelAfterTokens() {
		// Half of the cancellations come before the first token, where prefill work may
		// be wasted.
		if (this.random.nextDouble() >= this.workload.cancelShare()) {
			return -1;
		}
		return this.random.nextBoolean() ? 0 : 1 + this.random.nextInt(LATEST_CANCEL_TOKENS);
	}

	private int ownTokens() {
		double gaussian = Math.sqrt(-2 * Math.log(1 - this.random.nextDouble()))
				* Math.cos(2 * Math.PI * this.random.nextDouble());
		double tokens = this.workload.ownTokensMedian() * Math.exp(this.workload.ownTokensSigma() * gaussian);
		return (int) Math.min(tokens, (double) Workload.LONGEST_OWN_PART_MEDIANS * this.workload.ownTokensMedian());
	}

	private String words(int count) {
		return IntStream.range(0, count)
			.mapToObj((i) -> Integer.toString(this.random.nextInt(WORDS), 36) + " ")
			.collect(Collectors.joining());
	}

}
