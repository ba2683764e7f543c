package io.balsamlane.router.forwarding;

import io.balsamlane.core.forwarding.AttemptOutcome;
import io.balsamlane.core.forwarding.EngineLimits;
import io.balsamlane.core.forwarding.EngineWork;
import io.balsamlane.core.forwarding.ListedServer;

/**
 * Tells the placement which engines failed a model request. A refusal is a failure only
 * if the engine has room as far as this router knows: then it changes its stage, leaves,
 * or lacks the KV cache.
 */
final class EngineFailures {

	/** An engine that holds less than this share of its KV cache has room for sure. */
	private static final double ROOMY = 0.7;

	/** A prefill engine with fewer prompts than this has room: it keeps two waiting. */
	private static final int ROOMY_PROMPTS = 2;

	private final ForwardingParts parts;

	private final String requestId;

	EngineFailures(ForwardingParts parts, String requestId) {
		this.parts = parts;
		this.requestId = requestId;
	}

	void prefillFailed(ListedServer engine, AttemptOutcome outcome) {
		if (!(outcome instanceof AttemptOutcome.NotRun)) {
			failed(engine);
			return;
		}
		int prompts = work(engine).requests();
		if (prompts < ROOMY_PROMPTS) {
			avoid(engine, "prompts", prompts);
		}
	}

	/**
	 * Notes that a decode engine did not complete a stream.
	 * @param engine the engine
	 * @param cache the cache that it was to fetch, or null
	 * @param limits size of the engines
	 * @param outcome how the attempt ended
	 */
	void decodeFailed(ListedServer engine, KvCache cache, EngineLimits limits, AttemptOutcome outcome) {
		if (!(outcome instanceof AttemptOutcome.NotRun)) {
			failed(engine);
			return;
		}
		long held = work(engine).kvTokens();
		if (limits.kvTokens() > 0 && held < limits.kvTokens() * ROOMY) {
			avoid((cache != null) ? cache.engine() : engine, "held_tokens", held);
		}
	}

	private EngineWork work(ListedServer engine) {
		return this.parts.state().engines().work(engine.name(), System.nanoTime());
	}

	private void avoid(ListedServer engine, String measure, long value) {
		failed(engine);
		this.parts.log().log("engine-avoided", this.requestId, "server", engine.name(), measure, value);
	}

	private void failed(ListedServer engine) {
		this.parts.state().engines().recordFailure(engine.name(), System.nanoTime());
	}

}
