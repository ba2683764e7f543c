package io.balsamlane.core.scheduling;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.balsamlane.schema.GrantUpdate;

/**
 * Live grants and the only place that changes what is reserved for them.
 */
final class Ledger {

	private static final double HOLD_GAIN = 0.02;

	private static final double INITIAL_HOLD_NANOS = 1.5e9;

	/**
	 * Added to both sides of a ratio of times; hides the network's share of short times.
	 */
	private static final double TIME_FLOOR_NANOS = 10_000_000;

	/** Slack before a missing report counts as slowness. */
	private static final long OVERDUE_NANOS = 50_000_000;

	private final Map<String, Grant> grants = new LinkedHashMap<>(16, 0.75f, true);

	private final FirstTokenMargin margin;

	private double meanHoldNanos = INITIAL_HOLD_NANOS;

	/** Whether routers report the end of prefills; without it nothing is overdue. */
	private boolean phasesReported;

	Ledger(FirstTokenMargin margin) {
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

	double meanHoldNanos() {
		return this.meanHoldNanos;
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
				grant.prefill.linkUntilNanos = Math.max(grant.prefill.busyUntilNanos, grant.prefill.linkUntilNanos)
						+ grant.transferNanos;
			}
		}
		if (grant.decode != null) {
			grant.decode.live++;
			grant.decode.reserve(grant.decodePieces, nowNanos);
		}
	}

	void prefillDone(Grant grant, long nowNanos, boolean measured) {
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
			engine.observeTime((nowNanos - startNanos + TIME_FLOOR_NANOS) / (nominal + TIME_FLOOR_NANOS));
			engine.observeSuccess();
		}
	}

	void firstToken(Grant grant, long nowNanos) {
		if (grant.decoding) {
			return;
		}
		prefillDone(grant, nowNanos, false);
		grant.decoding = true;
		grant.firstTokenNanos = nowNanos;
		freePrefill(grant);
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
			engine.observeTime((measured + TIME_FLOOR_NANOS) / (stepNanos + TIME_FLOOR_NANOS));
		}
	}

	/**
	 * Takes in the time between tokens that a router measured.
	 * @param grant the grant
	 * @param micros mean time, 0 if unknown
	 */
	void betweenTokens(Grant grant, int micros) {
		if (micros > 0 && grant.decode != null && grant.decoding) {
			Engine engine = grant.decode;
			double batch = (grant.batchAtFirstToken + engine.decoding) / 2.0;
			engine.observeTime(micros / engine.pool.steps.micros(batch));
			if (!engine.straggler) {
				engine.pool.steps.observe(batch, micros);
			}
		}
	}

	private void freePrefill(Grant grant) {
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
		prefillDone(grant, nowNanos, false);
		freePrefill(grant);
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
		this.meanHoldNanos += HOLD_GAIN * (nowNanos - grant.grantedNanos - this.meanHoldNanos);
	}

	void finished(Grant grant, GrantUpdate update, long nowNanos) {
		betweenTokens(grant, update.getBetweenTokensMicros());
		if (update.getKind() == GrantUpdate.Kind.RELEASED && grant.decode != null && grant.decoding) {
			grant.decode.observeSuccess();
		}
		remove(grant, nowNanos);
	}

	/**
	 * Ends the grants that were not renewed in time.
	 * @param grantNanos time for which a grant lives without renewal
	 * @param nowNanos present time
	 * @param ended receives each grant that expired
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
	 * Counts prefills and first tokens that are overdue as slow, so that a straggler is
	 * found before its first answer. Of the prefills queued on an engine only the head
	 * counts; the others wait for it.
	 * @param nowNanos present time
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

	// Without reports the expected time is the best guess of the end of a prefill.
	private void assumePrefillsDone(long nowNanos) {
		this.grants.values()
			.stream()
			.filter((grant) -> grant.prefilling && nowNanos - grant.expectedFirstTokenNanos > 0)
			.forEach((grant) -> prefillDone(grant, nowNanos, false));
	}

	private static void observeOverdue(Engine engine, long startNanos, double nominalNanos, long nowNanos) {
		double waited = nowNanos - startNanos;
		if (engine.overdueNanos != nowNanos && waited > OVERDUE_NANOS + 1.5 * nominalNanos * engine.timeFactor) {
			engine.overdueNanos = nowNanos;
			engine.observeTime((waited + TIME_FLOOR_NANOS) / (nominalNanos + TIME_FLOOR_NANOS));
		}
	}

}
