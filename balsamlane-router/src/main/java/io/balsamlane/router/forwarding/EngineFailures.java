package io.balsamlane.router.forwarding;

import io.balsamlane.core.forwarding.AttemptOutcome;
import io.balsamlane.core.forwarding.EngineLimits;
import io.balsamlane.core.forwarding.EngineWork;
import io.balsamlane.core.forwarding.ListedServer;

/**
 * Reports to the placement which engines failed a model request. A refusal counts as a
 * failure only if the engine has free capacity according to this router: in that case the
 * engine is changing its stage, is shutting down, or does not have the KV cache.
 */
final class EngineFailures {

	/** Share of its KV cache below which an engine certainly has free capacity. */
	private static final double MAX_FILL_WITH_FREE_CAPACITY = 0.7;

	/**
	 * A prefill engine queues two prompts, so it has free capacity with fewer than that.
	 */
	private static final int PREFILL_QUEUE_PROMPTS = 2;

	private final ForwardingContext context;

	private final String requestId;

	EngineFailures(ForwardingContext context, String requestId) {
		this.context = context;
		this.requestId = requestId;
	}

	void prefillFailed(ListedServer engine, AttemptOutcome outcome) {
		if (!(outcome instanceof AttemptOutcome.NotRun)) {
			failed(engine);
			return;
		}
		int prompts = work(engine).requests();
		if (prompts < PREFILL_QUEUE_PROMPTS) {
			avoid(engine, "prompts", prompts);
		}
	}

	/**
	 * Record that a decode engine did not complete a stream.
	 * @param engine the engine
	 * @param cache the KV cache that it had to fetch, or null
	 * @param limits capacity of the engines
	 * @param outcome how the attempt ended
	 */
	void decodeFailed(ListedServer engine, KvCache cache, EngineLimits limits, AttemptOutcome outcome) {
		if (!(outcome instanceof AttemptOutcome.NotRun)) {
			failed(engine);
			return;
		}
		long held = work(engine).kvTokens();
		if (limits.kvTokens() > 0 && held < limits.kvTokens() * MAX_FILL_WITH_FREE_CAPACITY) {
			avoid((cache != null) ? cache.engine() : engine, "held_tokens", held);
		}
	}

	private EngineWork work(ListedServer engine) {
		return this.context.state().engines().work(engine.name(), System.nanoTime());
	}

	private void avoid(ListedServer engine, String measure, long value) {
		failed(engine);
		this.context.log().log("engine-avoided", this.requestId, "server", engine.name(), measure, value);
	}

	private void failed(ListedServer engine) {
		this.context.state().engines().recordFailure(engine.name(), System.nanoTime());
	}

}
