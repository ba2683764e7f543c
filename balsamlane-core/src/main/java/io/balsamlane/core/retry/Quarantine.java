package io.balsamlane.core.retry;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Identifies and quarantines requests that crash the backend servers that run them.
 * <p>
 * Each server death is recorded with the fingerprints of the requests that ran on the
 * server. A fingerprint that is involved in the deaths of at least two servers is
 * quarantined only if it is the only one that all these deaths have in common. An
 * unrelated request that ran beside the cause on both servers is therefore not
 * quarantined. Suspects that are involved in the same deaths are indistinguishable and
 * are numbered, so that callers can run them on different servers and the next death
 * separates them. A fingerprint that completes, or that yields {@value #CLEARING_TOKENS}
 * more tokens than at the time of a death, is cleared of that death. Requests that are
 * retried across servers that are killed one after the other are therefore not
 * quarantined. This class is not thread-safe.
 */
public final class Quarantine {

	/** Tokens that a request must yield after a server death to be cleared of it. */
	public static final int CLEARING_TOKENS = 16;

	private final int maxDeaths;

	private final int maxQuarantined;

	private final long mergeNanos;

	private final long settleNanos;

	private final long retentionNanos;

	private final Deque<Death> deaths = new ArrayDeque<>();

	private final Map<Long, Long> quarantinedUntilNanos = new LinkedHashMap<>();

	private Quarantine(int maxDeaths, int maxQuarantined, long mergeNanos, long settleNanos, long retentionNanos) {
		this.maxDeaths = maxDeaths;
		this.maxQuarantined = maxQuarantined;
		this.mergeNanos = mergeNanos;
		this.settleNanos = settleNanos;
		this.retentionNanos = retentionNanos;
	}

	/**
	 * Create an empty quarantine.
	 * @param maxDeaths maximum number of deaths kept; the oldest is evicted
	 * @param maxQuarantined maximum number of quarantined fingerprints; the oldest is
	 * evicted
	 * @param mergeNanos time within which reports about a server count as one death, in
	 * nanoseconds
	 * @param settleNanos time after a death for which reports about it may be
	 * outstanding, so that it is not decided upon, in nanoseconds
	 * @param retentionNanos time for which a death is kept and a fingerprint stays
	 * quarantined, in nanoseconds
	 * @return the quarantine
	 */
	public static Quarantine create(int maxDeaths, int maxQuarantined, long mergeNanos, long settleNanos,
			long retentionNanos) {
		return new Quarantine(maxDeaths, maxQuarantined, mergeNanos, settleNanos, retentionNanos);
	}

	/**
	 * Record that a server died while it ran requests of this router.
	 * @param server name of the server
	 * @param deliveredByFingerprint number of tokens that each request had yielded
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void died(String server, Map<Long, Integer> deliveredByFingerprint, long nowNanos) {
		Death death = findOrAddDeath(server, nowNanos);
		deliveredByFingerprint.forEach((fingerprint, delivered) -> {
			death.suspects.merge(fingerprint, delivered, Math::max);
			death.localSuspects.add(fingerprint);
		});
	}

	/**
	 * Record a report that a server died while it ran requests of another router.
	 * @param server name of the server
	 * @param fingerprints fingerprints of the requests
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void reported(String server, Collection<Long> fingerprints, long nowNanos) {
		Death death = findOrAddDeath(server, nowNanos);
		fingerprints.forEach((fingerprint) -> death.suspects.putIfAbsent(fingerprint, Integer.MAX_VALUE));
	}

	private Death findOrAddDeath(String server, long nowNanos) {
		this.deaths.removeIf((death) -> nowNanos - death.atNanos > this.retentionNanos);
		for (Death death : this.deaths) {
			if (death.server.equals(server) && nowNanos - death.atNanos < this.mergeNanos) {
				return death;
			}
		}
		if (this.deaths.size() == this.maxDeaths) {
			this.deaths.removeFirst();
		}
		Death death = new Death(server, nowNanos);
		this.deaths.addLast(death);
		return death;
	}

	/**
	 * Record the progress of a request.
	 * @param fingerprint fingerprint of the request
	 * @param delivered number of tokens that it has yielded
	 * @return {@code true} if the request was a suspect and is now cleared
	 */
	public boolean progressed(long fingerprint, int delivered) {
		boolean cleared = false;
		for (Death death : this.deaths) {
			Integer atDeath = death.suspects.get(fingerprint);
			if (atDeath != null && delivered - CLEARING_TOKENS >= atDeath) {
				death.suspects.remove(fingerprint);
				cleared = true;
			}
		}
		return cleared && deathCount(fingerprint) == 0;
	}

	/**
	 * Record that a request was completed by this or another router.
	 * @param fingerprint fingerprint of the request
	 * @return {@code true} if the request was a suspect
	 */
	public boolean completed(long fingerprint) {
		boolean suspected = deathCount(fingerprint) > 0;
		this.deaths.forEach((death) -> death.suspects.remove(fingerprint));
		return suspected;
	}

	/**
	 * Return the number of servers that died while they ran a request, except for deaths
	 * of which the request has been cleared.
	 * @param fingerprint fingerprint of the request
	 * @return the number of distinct servers
	 */
	public int deathCount(long fingerprint) {
		return deadServers(fingerprint).size();
	}

	/**
	 * Return the index of a request among the suspects that are involved in all of its
	 * deaths and are therefore indistinguishable from it. Routers that know of the same
	 * deaths compute the same index.
	 * @param fingerprint fingerprint of the request
	 * @return the index, 0 for the first suspect and for a request that is not a suspect
	 */
	public int suspectIndex(long fingerprint) {
		return (int) indistinguishableFrom(fingerprint).stream().filter((other) -> other < fingerprint).count();
	}

	// Returns the requests involved in all deaths of the given request, including itself.
	private Set<Long> indistinguishableFrom(long fingerprint) {
		Set<Long> common = null;
		for (Death death : this.deaths) {
			if (death.suspects.containsKey(fingerprint)) {
				if (common == null) {
					common = new HashSet<>(death.suspects.keySet());
				}
				common.retainAll(death.suspects.keySet());
			}
		}
		return (common != null) ? common : Set.of();
	}

	/**
	 * Quarantine the requests of this router that are now identified as the cause of
	 * deaths. To be called when the time for reports about a death has passed.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the newly quarantined requests
	 */
	public List<Decision> quarantineCulprits(long nowNanos) {
		List<Decision> found = this.deaths.stream()
			.flatMap((death) -> death.localSuspects.stream())
			.distinct()
			.filter((fingerprint) -> deathCount(fingerprint) > 1 && indistinguishableFrom(fingerprint).size() == 1)
			.filter((fingerprint) -> !isQuarantined(fingerprint, nowNanos))
			.filter((fingerprint) -> this.deaths.stream()
				.noneMatch((death) -> death.suspects.containsKey(fingerprint)
						&& nowNanos - death.atNanos < this.settleNanos))
			.map((fingerprint) -> new Decision(fingerprint, deadServers(fingerprint)))
			.toList();
		found.forEach((decision) -> apply(decision.fingerprint(), this.retentionNanos, nowNanos));
		return found;
	}

	private List<String> deadServers(long fingerprint) {
		return this.deaths.stream()
			.filter((death) -> death.suspects.containsKey(fingerprint))
			.map((death) -> death.server)
			.distinct()
			.sorted()
			.toList();
	}

	/**
	 * Quarantine a request for a limited time, at most the retention time.
	 * @param fingerprint fingerprint of the request
	 * @param remainingNanos remaining time of the quarantine, in nanoseconds
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void apply(long fingerprint, long remainingNanos, long nowNanos) {
		this.quarantinedUntilNanos.remove(fingerprint);
		if (this.quarantinedUntilNanos.size() == this.maxQuarantined) {
			this.quarantinedUntilNanos.remove(this.quarantinedUntilNanos.keySet().iterator().next());
		}
		this.quarantinedUntilNanos.put(fingerprint, nowNanos + Math.min(remainingNanos, this.retentionNanos));
	}

	/**
	 * Return whether a request is quarantined and must be refused.
	 * @param fingerprint fingerprint of the request
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return {@code true} while the request is quarantined
	 */
	public boolean isQuarantined(long fingerprint, long nowNanos) {
		Long until = this.quarantinedUntilNanos.get(fingerprint);
		return until != null && nowNanos - until < 0;
	}

	/**
	 * Return the requests in quarantine with their remaining times.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the remaining times in nanoseconds, by fingerprint
	 */
	public Map<Long, Long> remainingNanos(long nowNanos) {
		return this.quarantinedUntilNanos.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue() < 0)
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue() - nowNanos));
	}

	/**
	 * Decision to quarantine a request.
	 *
	 * @param fingerprint fingerprint of the request
	 * @param servers names of the servers that died while they ran the request
	 */
	public record Decision(long fingerprint, List<String> servers) {
	}

	private static final class Death {

		private final String server;

		private final long atNanos;

		private final Map<Long, Integer> suspects = new HashMap<>();

		private final Set<Long> localSuspects = new HashSet<>();

		Death(String server, long atNanos) {
			this.server = server;
			this.atNanos = atNanos;
		}

	}

}
