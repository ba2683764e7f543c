package io.balsamlane.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.balsamlane.core.model.Endpoint;

/**
 * Bounded tables of the probes that wait for an answer: own ones, and those made for
 * other nodes.
 */
final class PendingProbes {

	private static final int MAX_PENDING = 256;

	private final Map<Long, Pending> own = new LinkedHashMap<>();

	private final Map<Long, Relay> relays = new LinkedHashMap<>();

	void add(long sequence, String host, long nowNanos) {
		if (this.own.size() < MAX_PENDING && this.own.values().stream().noneMatch((entry) -> entry.host.equals(host))) {
			this.own.put(sequence, new Pending(sequence, host, nowNanos));
		}
	}

	void addRelay(long sequence, Relay relay) {
		if (this.relays.size() < MAX_PENDING) {
			this.relays.put(sequence, relay);
		}
	}

	boolean answered(long sequence) {
		return this.own.remove(sequence) != null;
	}

	Optional<Relay> takeRelay(long sequence) {
		return Optional.ofNullable(this.relays.remove(sequence));
	}

	// Returns the probes whose direct answer is late, each once.
	List<Pending> takeLate(long timeoutNanos, long nowNanos) {
		List<Pending> late = this.own.values()
			.stream()
			.filter((entry) -> !entry.indirect && nowNanos - entry.startNanos >= timeoutNanos)
			.toList();
		late.forEach((entry) -> entry.indirect = true);
		return late;
	}

	// Removes and returns the probes that stayed without any answer.
	List<Pending> takeFailed(long limitNanos, long nowNanos) {
		List<Pending> failed = new ArrayList<>();
		for (Iterator<Pending> iterator = this.own.values().iterator(); iterator.hasNext();) {
			Pending entry = iterator.next();
			if (nowNanos - entry.startNanos >= limitNanos) {
				iterator.remove();
				failed.add(entry);
			}
		}
		this.relays.values().removeIf((relay) -> nowNanos - relay.startNanos() >= limitNanos);
		return failed;
	}

	void clear() {
		this.own.clear();
		this.relays.clear();
	}

	int size() {
		return this.own.size() + this.relays.size();
	}

	/**
	 * Probe made for another node.
	 *
	 * @param requester address of that node
	 * @param sequence its number for the probe
	 * @param startNanos when it was made
	 */
	record Relay(Endpoint requester, long sequence, long startNanos) {
	}

	/**
	 * Probe of this node that waits for an answer.
	 */
	static final class Pending {

		private final long sequence;

		private final String host;

		private final long startNanos;

		private boolean indirect;

		private Pending(long sequence, String host, long startNanos) {
			this.sequence = sequence;
			this.host = host;
			this.startNanos = startNanos;
		}

		long sequence() {
			return this.sequence;
		}

		String host() {
			return this.host;
		}

	}

}
