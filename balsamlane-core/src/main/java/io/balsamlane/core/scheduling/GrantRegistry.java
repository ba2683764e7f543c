package io.balsamlane.core.scheduling;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.balsamlane.schema.GrantUpdate;

/**
 * Registry of the live grants. All reservations of engine resources are made and released
 * here.
 */
final class GrantRegistry {

	private static final double HOLD_TIME_GAIN = 0.02;

	private static final double INITIAL_HOLD_TIME_NANOS = 1.5e9;

	/**
	 * Added to both terms of a time ratio to reduce the influence of network latency on
	 * short times.
	 */
	private static final double TIME_OFFSET_NANOS = 10_000_000;

	/** Tolerance before a missing report counts as a slow sample. */
	private static final long OVERDUE_SLACK_NANOS = 50_000_000;

	private final Map<String, Grant> grants = new LinkedHashMap<>(16, 0.75f, true);

	private final FirstTokenMargin margin;

	private double meanHoldTimeNanos = INITIAL_HOLD_TIME_NANOS;

	/**
	 * Whether routers report the end of prefills; without these reports nothing counts as
	 * overdue.
	 */
	private boolean phasesReported;

	GrantRegistry(FirstTokenMargin margin) {
		this.margin = margin;
	}

	int size() {
		return this.grants.size();
	}

	Grant find(String key) {
		return this.grants.get(key);
	}

	Collection<Grant> all() {
		return this.grants.values();
	}

	double meanHoldTimeNanos() {
		return this.meanHoldTimeNanos;
	}

	void add(Grant grant, long nowNanos) {
		grant.renewedNanos = nowNanos;
		this.grants.put(grant.key, grant);
		grant.caller.live++;
		if (grant.prefill != null) {
			grant.prefill.live++;
			grant.prefill.reserve(grant.prefillPieces, nowNanos);
			if (grant.prefilling) {
				grant.prefill.addPrefill(grant, nowNanos);
				grant.prefill.linkBusyUntilNanos = Math.max(grant.prefill.busyUntilNanos,
						grant.prefill.linkBusyUntilNanos) + grant.transferNanos;
			}
		}
		if (grant.decode != null) {
			grant.decode.live++;
			grant.decode.reserve(grant.decodePieces, nowNanos);
		}
	}

	void recordPrefillDone(Grant grant, long nowNanos, boolean measured) {
		if (!grant.prefilling) {
			return;
		}
		grant.prefilling = false;
		grant.prefillDoneNanos = nowNanos;
		Engine engine = grant.prefill;
		long startNanos = Math.max(grant.grantedNanos, engine.lastPrefillDoneNanos);
		engine.removePrefill(grant, nowNanos);
		engine.lastPrefillDoneNanos = nowNanos;
		if (measured) {
			this.phasesReported = true;
			double nominal = grant.nominalPrefillNanos;
			engine.observeTime((nowNanos - startNanos + TIME_OFFSET_NANOS) / (nominal + TIME_OFFSET_NANOS));
			engine.observeSuccess();
		}
	}

	void recordFirstToken(Grant grant, long nowNanos) {
		if (grant.decoding) {
			return;
		}
		recordPrefillDone(grant, nowNanos, false);
		grant.decoding = true;
		grant.firstTokenNanos = nowNanos;
		releasePrefill(grant);
		if (grant.expectedFirstTokenNanos != 0) {
			this.margin.observe(nowNanos - grant.expectedFirstTokenNanos);
		}
		Engine engine = grant.decode;
		if (engine == null) {
			return;
		}
		engine.decoding++;
		grant.batchAtFirstToken = engine.decoding;
		if (grant.prefillDoneNanos != 0 && grant.prefillDoneNanos != nowNanos && this.phasesReported) {
			double stepNanos = engine.pool.steps.micros(engine.decoding) * 1000;
			double measured = Math.max(0, nowNanos - grant.prefillDoneNanos - grant.transferNanos);
			engine.observeTime((measured + TIME_OFFSET_NANOS) / (stepNanos + TIME_OFFSET_NANOS));
		}
	}

	/**
	 * Record the time between tokens measured by a router.
	 * @param grant the grant
	 * @param micros mean time between tokens in microseconds, 0 if unknown
	 */
	void observeTimeBetweenTokens(Grant grant, int micros) {
		if (micros > 0 && grant.decode != null && grant.decoding) {
			Engine engine = grant.decode;
			double batch = (grant.batchAtFirstToken + engine.decoding) / 2.0;
			engine.observeTime(micros / engine.pool.steps.micros(batch));
			if (!engine.straggler) {
				engine.pool.steps.observe(batch, micros);
			}
		}
	}

	private void releasePrefill(Grant grant) {
		if (grant.prefill != null) {
			grant.prefill.release(grant.prefillPieces);
			grant.prefillPieces = 0;
		}
	}

	void remove(Grant grant, long nowNanos) {
		if (this.grants.remove(grant.key) == null) {
			return;
		}
		grant.caller.live--;
		recordPrefillDone(grant, nowNanos, false);
		releasePrefill(grant);
		if (grant.prefill != null) {
			grant.prefill.live--;
			grant.prefill.probes -= grant.probesPrefill ? 1 : 0;
		}
		if (grant.decode != null) {
			grant.decode.live--;
			grant.decode.release(grant.decodePieces);
			grant.decode.decoding -= grant.decoding ? 1 : 0;
			grant.decode.probes -= grant.probesDecode ? 1 : 0;
		}
		this.meanHoldTimeNanos += HOLD_TIME_GAIN * (nowNanos - grant.grantedNanos - this.meanHoldTimeNanos);
	}

	void finish(Grant grant, GrantUpdate update, long nowNanos) {
		observeTimeBetweenTokens(grant, update.getBetweenTokensMicros());
		if (update.getKind() == GrantUpdate.Kind.RELEASED && grant.decode != null && grant.decoding) {
			grant.decode.observeSuccess();
		}
		remove(grant, nowNanos);
	}

	/**
	 * Remove the grants that were not renewed in time.
	 * @param grantNanos lifetime of a grant without renewal
	 * @param nowNanos current time
	 * @param ended callback for each expired grant
	 */
	void expire(long grantNanos, long nowNanos, Consumer<Grant> ended) {
		Iterator<Grant> oldest = this.grants.values().iterator();
		while (oldest.hasNext()) {
			Grant grant = oldest.next();
			if (nowNanos - grant.renewedNanos <= grantNanos) {
				return;
			}
			remove(grant, nowNanos);
			ended.accept(grant);
			oldest = this.grants.values().iterator();
		}
	}

	/**
	 * Record overdue prefills and first tokens as slow samples, so that a straggler is
	 * detected before it responds. Only the prefill at the head of the queue of an engine
	 * counts, because the others wait for it.
	 * @param nowNanos current time
	 */
	void observeOverdue(long nowNanos) {
		if (!this.phasesReported) {
			assumePrefillsDone(nowNanos);
			return;
		}
		for (Grant grant : this.grants.values()) {
			if (grant.prefilling && grant.prefill.prefillQueue.peek() == grant) {
				observeOverdue(grant.prefill, Math.max(grant.grantedNanos, grant.prefill.lastPrefillDoneNanos),
						grant.nominalPrefillNanos, nowNanos);
			}
			else if (!grant.prefilling && !grant.decoding && grant.decode != null && grant.prefillDoneNanos != 0) {
				observeOverdue(grant.decode, grant.prefillDoneNanos + grant.transferNanos,
						2 * grant.decode.pool.steps.micros(grant.decode.decoding + 1.0) * 1000, nowNanos);
			}
		}
	}

	// Without reports, the expected time is the best available estimate of the end of a
	// prefill.
	private void assumePrefillsDone(long nowNanos) {
		this.grants.values()
			.stream()
			.filter((grant) -> grant.prefilling && nowNanos - grant.expectedFirstTokenNanos > 0)
			.forEach((grant) -> recordPrefillDone(grant, nowNanos, false));
	}

	private static void observeOverdue(Engine engine, long startNanos, double nominalNanos, long nowNanos) {
		double waited = nowNanos - startNanos;
		if (engine.lastOverdueNanos != nowNanos
				&& waited > OVERDUE_SLACK_NANOS + 1.5 * nominalNanos * engine.timeFactor) {
			engine.lastOverdueNanos = nowNanos;
			engine.observeTime((waited + TIME_OFFSET_NANOS) / (nominalNanos + TIME_OFFSET_NANOS));
		}
	}

}
