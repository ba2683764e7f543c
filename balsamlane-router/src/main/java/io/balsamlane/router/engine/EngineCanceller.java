package io.balsamlane.router.engine;

import java.util.HashMap;
import java.util.Map;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.router.engine.EngineClient.CancelResult;
import io.balsamlane.schema.EngineSettings;
import io.vertx.core.Vertx;

/**
 * Cancels attempts on engines and repeats cancels that were not confirmed.
 * <p>
 * An engine that holds nothing is asked {@value #TIMES_NOTHING_HELD} times, because a
 * cancel can overtake an order that is still on its way over another connection. What is
 * given up here is left to the auditor of the engine.
 */
public final class EngineCanceller {

	private static final int MAX_PENDING = 8192;

	private static final int TIMES_NOTHING_HELD = 3;

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
	 * Creates a canceller.
	 * @param vertx the event loops to use; all calls must come from one of them
	 * @param engines access to engines
	 * @param settings times of the retries
	 * @return the canceller
	 */
	public static EngineCanceller create(Vertx vertx, EngineClient engines, EngineSettings settings) {
		return new EngineCanceller(vertx, engines, settings);
	}

	/**
	 * Cancels an attempt at once and again until it is confirmed or the time limit has
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
	 * Returns the number of cancels that are not confirmed.
	 * @return the cancels
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
				state.timesNothingHeld++;
			}
			long ageMillis = (System.nanoTime() - state.startedNanos) / 1_000_000;
			if (result == CancelResult.RELEASED || state.timesNothingHeld >= TIMES_NOTHING_HELD
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

		private int timesNothingHeld;

		Pending(long startedNanos) {
			this.startedNanos = startedNanos;
		}

	}

}
