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

/**
 * Finds requests that crash the backend servers that run them.
 * <p>
 * Each death of a server names the fingerprints that ran on it. A fingerprint that two
 * servers or more died with is quarantined only if it is the only one that all its deaths
 * have in common, so a bystander that shared both servers with the culprit is not taken
 * for it. Suspects that cannot be told apart yet have turns: run on different servers,
 * the next death tells them apart. A fingerprint that completes, or that gets
 * {@value #CLEARING_TOKENS} tokens further than where a server died, did not cause that
 * death, so servers that are killed one after the other do not quarantine the requests
 * that move between them. Not safe for use by several threads.
 */
public final class Quarantine {

	/** Tokens of progress beyond a death that clear a fingerprint of it. */
	public static final int CLEARING_TOKENS = 16;

	private final int maxDeaths;

	private final int maxQuarantined;

	private final long mergeNanos;

	private final long retentionNanos;

	private final Deque<Death> deaths = new ArrayDeque<>();

	private final Map<Long, Long> untilNanos = new LinkedHashMap<>();

	private Quarantine(int maxDeaths, int maxQuarantined, long mergeNanos, long retentionNanos) {
		this.maxDeaths = maxDeaths;
		this.maxQuarantined = maxQuarantined;
		this.mergeNanos = mergeNanos;
		this.retentionNanos = retentionNanos;
	}

	/**
	 * Creates an empty quarantine.
	 * @param maxDeaths most deaths kept; the oldest is dropped
	 * @param maxQuarantined most fingerprints refused; the oldest is dropped
	 * @param mergeNanos time within which reports about one server are about one death
	 * @param retentionNanos time for which a death is kept and a fingerprint refused
	 * @return the quarantine
	 */
	public static Quarantine create(int maxDeaths, int maxQuarantined, long mergeNanos, long retentionNanos) {
		return new Quarantine(maxDeaths, maxQuarantined, mergeNanos, retentionNanos);
	}

	/**
	 * Records that a server died while it ran requests of this router.
	 * @param server the server
	 * @param deliveredByFingerprint tokens that each request had yielded
	 * @param nowNanos the current time
	 */
	public void died(String server, Map<Long, Integer> deliveredByFingerprint, long nowNanos) {
		Death death = death(server, nowNanos);
		deliveredByFingerprint.forEach((fingerprint, delivered) -> {
			death.suspects.merge(fingerprint, delivered, Math::max);
			death.own.add(fingerprint);
		});
	}

	/**
	 * Records that a server died while it ran requests of another router.
	 * @param server the server
	 * @param fingerprints the requests
	 * @param nowNanos the current time
	 */
	public void reported(String server, Collection<Long> fingerprints, long nowNanos) {
		Death death = death(server, nowNanos);
		fingerprints.forEach((fingerprint) -> death.suspects.putIfAbsent(fingerprint, Integer.MAX_VALUE));
	}

	private Death death(String server, long nowNanos) {
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
	 * Records progress of a request.
	 * @param fingerprint the request
	 * @param delivered tokens that it has yielded
	 * @return true if it was suspected and is not any more
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
		return cleared && deaths(fingerprint) == 0;
	}

	/**
	 * Records that a request was completed, here or by another router.
	 * @param fingerprint the request
	 * @return true if it was suspected
	 */
	public boolean completed(long fingerprint) {
		boolean suspected = deaths(fingerprint) > 0;
		this.deaths.forEach((death) -> death.suspects.remove(fingerprint));
		return suspected;
	}

	/**
	 * Counts the servers that died while they ran a request and of whose death it has not
	 * been cleared.
	 * @param fingerprint the request
	 * @return the number of different servers
	 */
	public int deaths(long fingerprint) {
		return servers(fingerprint).size();
	}

	/**
	 * Returns the turn of a request among those that cannot be told from it, because they
	 * shared all its deaths. Routers that know of the same deaths agree on the turns.
	 * @param fingerprint the request
	 * @return the turn, 0 for the first and for a request that is not suspected
	 */
	public int turn(long fingerprint) {
		return (int) alike(fingerprint).stream().filter((other) -> other < fingerprint).count();
	}

	// Returns the requests that all deaths of a request have in common, itself included.
	private Set<Long> alike(long fingerprint) {
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
	 * Decides which requests of this router are quarantined now. Call it some time after
	 * a death, when the reports of other routers have arrived.
	 * @param nowNanos the current time
	 * @return the new decisions
	 */
	public List<Decision> decide(long nowNanos) {
		List<Decision> found = this.deaths.stream()
			.flatMap((death) -> death.own.stream())
			.distinct()
			.filter((fingerprint) -> deaths(fingerprint) > 1 && alike(fingerprint).size() == 1)
			.filter((fingerprint) -> !refuses(fingerprint, nowNanos))
			.map((fingerprint) -> new Decision(fingerprint, servers(fingerprint)))
			.toList();
		found.forEach((decision) -> accept(decision.fingerprint(), this.retentionNanos, nowNanos));
		return found;
	}

	private List<String> servers(long fingerprint) {
		return this.deaths.stream()
			.filter((death) -> death.suspects.containsKey(fingerprint))
			.map((death) -> death.server)
			.distinct()
			.sorted()
			.toList();
	}

	/**
	 * Takes over a decision.
	 * @param fingerprint the request
	 * @param remainingNanos time for which it is refused
	 * @param nowNanos the current time
	 */
	public void accept(long fingerprint, long remainingNanos, long nowNanos) {
		this.untilNanos.remove(fingerprint);
		if (this.untilNanos.size() == this.maxQuarantined) {
			this.untilNanos.remove(this.untilNanos.keySet().iterator().next());
		}
		this.untilNanos.put(fingerprint, nowNanos + Math.min(remainingNanos, this.retentionNanos));
	}

	/**
	 * Tells whether a request is refused.
	 * @param fingerprint the request
	 * @param nowNanos the current time
	 * @return true while it is quarantined
	 */
	public boolean refuses(long fingerprint, long nowNanos) {
		Long until = this.untilNanos.get(fingerprint);
		return until != null && nowNanos - until < 0;
	}

	/**
	 * A request that is quarantined.
	 *
	 * @param fingerprint the request
	 * @param servers the servers that died while they ran it
	 */
	public record Decision(long fingerprint, List<String> servers) {
	}

	private static final class Death {

		private final String server;

		private final long atNanos;

		private final Map<Long, Integer> suspects = new HashMap<>();

		private final Set<Long> own = new HashSet<>();

		Death(String server, long atNanos) {
			this.server = server;
			this.atNanos = atNanos;
		}

	}

}
