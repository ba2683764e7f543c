package io.balsamlane.router.engine;

import java.util.HashMap;
import java.util.Map;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.router.engine.EngineClient.CancelResult;
import io.balsamlane.schema.EngineSettings;
import io.vertx.core.Vertx;

/**
 * Cancels attempts on engines and retries cancellations that were not confirmed.
 * <p>
 * A cancellation that finds nothing to release is sent {@value #MAX_NOTHING_HELD} times,
 * because it can overtake a request that is still in transit on another connection. An
 * attempt whose cancellation is abandoned is left to the {@link EngineAuditor}.
 */
public final class EngineCanceller {

	private static final int MAX_PENDING = 8192;

	private static final int MAX_NOTHING_HELD = 3;

	private final Vertx vertx;

	private final EngineClient engines;

	private final EngineSettings settings;

	private final Map<Target, Pending> pending = new HashMap<>();

	private EngineCanceller(Vertx vertx, EngineClient engines, EngineSettings settings) {
		this.vertx = vertx;
		this.engines = engines;
		this.settings = settings;
	}

	/**
	 * Create a canceller.
	 * @param vertx the event loops to use; all calls must come from one of them
	 * @param engines client for the engines
	 * @param settings retry interval and time limit
	 * @return the canceller
	 */
	public static EngineCanceller create(Vertx vertx, EngineClient engines, EngineSettings settings) {
		return new EngineCanceller(vertx, engines, settings);
	}

	/**
	 * Cancel an attempt, and retry until the engine confirms it or the time limit has
	 * passed.
	 * @param engine the engine
	 * @param attempt request id and attempt number
	 */
	public void cancel(Endpoint engine, String attempt) {
		Target target = new Target(engine, attempt);
		if (this.pending.containsKey(target)) {
			return;
		}
		if (this.pending.size() < MAX_PENDING) {
			this.pending.put(target, new Pending(System.nanoTime()));
		}
		send(target);
	}

	/**
	 * Return the number of cancellations that are not confirmed.
	 * @return the number of cancellations
	 */
	public int pending() {
		return this.pending.size();
	}

	private void send(Target target) {
		this.engines.cancel(target.engine(), target.attempt()).onSuccess((result) -> {
			Pending state = this.pending.get(target);
			if (state == null) {
				return;
			}
			if (result == CancelResult.NOTHING_HELD) {
				state.nothingHeldCount++;
			}
			long ageMillis = (System.nanoTime() - state.startedNanos) / 1_000_000;
			if (result == CancelResult.RELEASED || state.nothingHeldCount >= MAX_NOTHING_HELD
					|| ageMillis > this.settings.getCancelLimitMillis()) {
				this.pending.remove(target);
			}
			else {
				this.vertx.setTimer(this.settings.getCancelRetryMillis(), (id) -> send(target));
			}
		});
	}

	private record Target(Endpoint engine, String attempt) {
	}

	private static final class Pending {

		private final long startedNanos;

		private int nothingHeldCount;

		Pending(long startedNanos) {
			this.startedNanos = startedNanos;
		}

	}

}
