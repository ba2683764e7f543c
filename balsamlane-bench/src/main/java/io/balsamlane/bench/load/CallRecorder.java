package io.balsamlane.bench.load;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Compares one answer with the expected text and measures its latencies. Not thread-safe;
 * all calls come on the event loop of the request.
 */
final class CallRecorder implements ModelTransport.AnswerListener {

	private final ModelCall call;

	private final Consumer<CallResult> completion;

	private final StringBuilder text = new StringBuilder();

	private long[] tokenNanos = new long[128];

	private int tokens;

	private Runnable close = () -> {
	};

	private boolean ended;

	CallRecorder(ModelCall call, Consumer<CallResult> completion) {
		this.call = call;
		this.completion = completion;
	}

	void start(Runnable closeCall) {
		this.close = closeCall;
	}

	@Override
	public void token(String part) {
		if (this.ended) {
			return;
		}
		if (this.tokens == this.tokenNanos.length) {
			this.tokenNanos = Arrays.copyOf(this.tokenNanos, 2 * this.tokens);
		}
		this.tokenNanos[this.tokens++] = System.nanoTime();
		this.text.append(part);
		if (this.call.cancelAfterTokens() >= 0 && this.tokens > this.call.cancelAfterTokens()) {
			cancel();
		}
	}

	/**
	 * Cancel the request as its customer would.
	 */
	void cancel() {
		if (!this.ended) {
			this.close.run();
			finish(CallResult.Outcome.CANCELLED, "", false);
		}
	}

	@Override
	public void end(String errorKind, boolean notRun) {
		if (this.ended) {
			return;
		}
		if (!errorKind.isEmpty()) {
			finish(CallResult.Outcome.ERROR, errorKind, notRun);
		}
		else {
			finish(this.call.expected().contentEquals(this.text) ? CallResult.Outcome.COMPLETE
					: CallResult.Outcome.WRONG, "", false);
		}
	}

	/**
	 * Close the request and record it as unfinished because the load has ended.
	 */
	void abandon() {
		if (!this.ended) {
			this.close.run();
			finish(CallResult.Outcome.UNFINISHED, "unfinished", false);
		}
	}

	private void finish(CallResult.Outcome outcome, String errorKind, boolean notRun) {
		this.ended = true;
		long firstNanos = (this.tokens > 0) ? this.tokenNanos[0] - this.call.dueNanos() : -1;
		long[] gaps = new long[Math.max(0, this.tokens - 1)];
		Arrays.setAll(gaps, (i) -> this.tokenNanos[i + 1] - this.tokenNanos[i]);
		Arrays.sort(gaps);
		long mean = (gaps.length > 0) ? (long) Arrays.stream(gaps).average().orElse(0) : 0;
		long p95 = (gaps.length > 0) ? gaps[(int) Math.ceil(0.95 * gaps.length) - 1] : 0;
		this.completion.accept(new CallResult(this.call, outcome, errorKind, notRun, firstNanos, mean, p95,
				System.nanoTime(), this.tokens));
	}

}
