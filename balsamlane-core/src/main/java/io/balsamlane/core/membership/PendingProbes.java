package io.balsamlane.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.balsamlane.core.model.Endpoint;

/**
 * Bounded tables of the probes that await an acknowledgement: those of this node, and
 * those that it relays for other nodes.
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

	boolean acknowledge(long sequence) {
		return this.own.remove(sequence) != null;
	}

	Optional<Relay> takeRelay(long sequence) {
		return Optional.ofNullable(this.relays.remove(sequence));
	}

	// Return the probes whose direct acknowledgement is overdue, each of them only once.
	List<Pending> takeOverdue(long timeoutNanos, long nowNanos) {
		List<Pending> overdue = this.own.values()
			.stream()
			.filter((entry) -> !entry.indirectRequested && nowNanos - entry.startNanos >= timeoutNanos)
			.toList();
		overdue.forEach((entry) -> entry.indirectRequested = true);
		return overdue;
	}

	// Remove and return the probes that have received no acknowledgement, direct or
	// indirect, within the limit.
	List<Pending> takeExpired(long limitNanos, long nowNanos) {
		List<Pending> expired = new ArrayList<>();
		for (Iterator<Pending> iterator = this.own.values().iterator(); iterator.hasNext();) {
			Pending entry = iterator.next();
			if (nowNanos - entry.startNanos >= limitNanos) {
				iterator.remove();
				expired.add(entry);
			}
		}
		this.relays.values().removeIf((relay) -> nowNanos - relay.startNanos() >= limitNanos);
		return expired;
	}

	void clear() {
		this.own.clear();
		this.relays.clear();
	}

	int size() {
		return this.own.size() + this.relays.size();
	}

	/**
	 * Probe relayed for another node.
	 *
	 * @param requester address of that node
	 * @param sequence sequence number of that node's probe request
	 * @param startNanos time at which the probe was sent, in nanoseconds
	 */
	record Relay(Endpoint requester, long sequence, long startNanos) {
	}

	/**
	 * Probe of this node that awaits an acknowledgement.
	 */
	static final class Pending {

		private final long sequence;

		private final String host;

		private final long startNanos;

		private boolean indirectRequested;

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
