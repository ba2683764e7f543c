package io.balsamlane.core.retry;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.balsamlane.core.model.PromptPart;

/**
 * Identifies and quarantines parts of prompts under which backend servers crash, although
 * the requests that contain them have nothing else in common.
 * <p>
 * A part is suspected of a crash if a request that contains it ran on the server without
 * having produced output, and no request with it has produced output since. It is
 * quarantined after {@value #MIN_CRASHES} crashes in sequence, each under a request that
 * was sent after the previous crash, so servers that fail together for another reason
 * count as one. A part whose crashes are a proper subset of those of another part is only
 * a bystander. Of several parts with the same crashes, one that never produced output and
 * stands later in the prompt is quarantined, because this affects fewer requests; if it
 * is not the cause, the next crash identifies the other part. Times are on the monotonic
 * clock. This class is not thread-safe.
 */
public final class PromptPartQuarantine {

	/** Crashes in sequence after which a part is quarantined. */
	public static final int MIN_CRASHES = 3;

	private final int maxCrashes;

	private final int maxParts;

	private final long mergeNanos;

	private final long settleNanos;

	private final long retentionNanos;

	private final Deque<Crash> crashes = new ArrayDeque<>();

	private final Map<PromptPart, Long> outputNanos = new LinkedHashMap<>();

	private final Map<PromptPart, Long> quarantinedUntilNanos = new LinkedHashMap<>();

	private PromptPartQuarantine(int maxCrashes, int maxParts, long mergeNanos, long settleNanos, long retentionNanos) {
		this.maxCrashes = maxCrashes;
		this.maxParts = maxParts;
		this.mergeNanos = mergeNanos;
		this.settleNanos = settleNanos;
		this.retentionNanos = retentionNanos;
	}

	/**
	 * Create an empty quarantine.
	 * @param maxCrashes maximum number of crashes kept; the oldest is evicted
	 * @param maxParts maximum number of parts of which output is known and of parts in
	 * quarantine; the oldest is evicted
	 * @param mergeNanos time within which reports about a server count as one crash, in
	 * nanoseconds
	 * @param settleNanos time after a crash for which reports about it may be
	 * outstanding, so that it is not decided upon, in nanoseconds
	 * @param retentionNanos time for which a crash is kept and a part stays quarantined,
	 * in nanoseconds
	 * @return the quarantine
	 */
	public static PromptPartQuarantine create(int maxCrashes, int maxParts, long mergeNanos, long settleNanos,
			long retentionNanos) {
		return new PromptPartQuarantine(maxCrashes, maxParts, mergeNanos, settleNanos, retentionNanos);
	}

	/**
	 * Record that a server crashed while it ran requests that had not produced output.
	 * @param server the server
	 * @param suspects the requests
	 * @param own true if this router sent them
	 * @param atNanos time of the crash
	 */
	public void crashed(String server, Collection<Suspect> suspects, boolean own, long atNanos) {
		this.crashes.removeIf((crash) -> atNanos - crash.atNanos > this.retentionNanos);
		Crash crash = this.crashes.stream()
			.filter((known) -> known.server.equals(server) && Math.abs(atNanos - known.atNanos) < this.mergeNanos)
			.findFirst()
			.orElseGet(() -> add(new Crash(server, atNanos)));
		crash.suspects.addAll(suspects);
		crash.own |= own;
	}

	private Crash add(Crash crash) {
		if (this.crashes.size() == this.maxCrashes) {
			this.crashes.removeFirst();
		}
		this.crashes.addLast(crash);
		return crash;
	}

	/**
	 * Record that a request produced output, so no part of it crashes servers.
	 * @param parts parts of its prompt
	 * @param atNanos time of the output
	 */
	public void produced(Collection<PromptPart> parts, long atNanos) {
		parts.forEach((part) -> {
			Long known = this.outputNanos.remove(part);
			evictEldest(this.outputNanos);
			this.outputNanos.put(part, (known != null && known - atNanos > 0) ? known : Long.valueOf(atNanos));
		});
	}

	private <K, V> void evictEldest(Map<K, V> map) {
		if (map.size() >= this.maxParts) {
			map.remove(map.keySet().iterator().next());
		}
	}

	/**
	 * Return the time since a request with a part last produced output.
	 * @param part the part
	 * @param nowNanos the current time
	 * @return the time in nanoseconds, empty if no output is known
	 */
	public OptionalLong outputAgeNanos(PromptPart part, long nowNanos) {
		Long at = this.outputNanos.get(part);
		return (at != null) ? OptionalLong.of(Math.max(0, nowNanos - at)) : OptionalLong.empty();
	}

	/**
	 * Return the parts that might be quarantined, including those that cannot be told
	 * apart from them. Other routers may know of output of these parts.
	 * @param nowNanos the current time
	 * @return the parts, empty if no part is suspected of enough crashes of this router's
	 * own requests
	 */
	public Set<PromptPart> candidates(long nowNanos) {
		return findCauses(nowNanos).stream().flatMap((cause) -> cause.parts().stream()).collect(Collectors.toSet());
	}

	/**
	 * Quarantine the parts that are now identified as the cause of crashes.
	 * @param nowNanos the current time
	 * @return the newly quarantined parts
	 */
	public List<Decision> quarantineCulprits(long nowNanos) {
		List<Decision> found = findCauses(nowNanos).stream()
			.flatMap((cause) -> mostSpecific(cause)
				.map((part) -> new Decision(part, cause.crashes().stream().map((crash) -> crash.server).toList()))
				.stream())
			.toList();
		found.forEach((decision) -> apply(decision.part(), this.retentionNanos, nowNanos));
		return found;
	}

	private List<Cause> findCauses(long nowNanos) {
		Map<PromptPart, List<Crash>> crashesByPart = this.crashes.stream()
			.flatMap((crash) -> crash.suspects.stream())
			.flatMap((suspect) -> suspect.parts().stream())
			.distinct()
			.collect(Collectors.toMap(Function.identity(), (part) -> crashesOf(part, nowNanos)));
		Map<List<Crash>, Set<PromptPart>> partsByCrashes = crashesByPart.entrySet()
			.stream()
			.collect(Collectors.groupingBy(Map.Entry::getValue,
					Collectors.mapping(Map.Entry::getKey, Collectors.toSet())));
		return partsByCrashes.entrySet()
			.stream()
			.map((group) -> new Cause(group.getKey(), group.getValue()))
			.filter((cause) -> cause.crashes().stream().anyMatch((crash) -> crash.own))
			.filter((cause) -> partsByCrashes.keySet().stream().noneMatch(cause::explainsLessThan))
			.filter((cause) -> cause.parts().stream().noneMatch((part) -> isQuarantined(part, nowNanos)))
			.filter((cause) -> cause.crashesInSequence() >= MIN_CRASHES)
			.toList();
	}

	private List<Crash> crashesOf(PromptPart part, long nowNanos) {
		Long output = this.outputNanos.get(part);
		return this.crashes.stream()
			.filter((crash) -> nowNanos - crash.atNanos >= this.settleNanos)
			.filter((crash) -> output == null || crash.atNanos - output > 0)
			.filter((crash) -> crash.suspects.stream().anyMatch((suspect) -> suspect.parts().contains(part)))
			.sorted(Comparator.comparingLong((crash) -> crash.atNanos))
			.toList();
	}

	// Returns no part if some of them belong to different requests, which only another
	// crash can tell apart.
	private Optional<PromptPart> mostSpecific(Cause cause) {
		return cause.isOfSameRequests() ? cause.parts()
			.stream()
			.max(Comparator.comparing((PromptPart part) -> !this.outputNanos.containsKey(part))
				.thenComparingInt((part) -> position(part, cause.crashes()))
				.thenComparingLong(PromptPart::value)) : Optional.empty();
	}

	private static int position(PromptPart part, List<Crash> crashes) {
		return crashes.stream()
			.flatMap((crash) -> crash.suspects.stream())
			.mapToInt((suspect) -> suspect.parts().indexOf(part))
			.max()
			.orElse(-1);
	}

	/**
	 * Quarantine a part for a limited time, at most the retention time. Routers repeat
	 * quarantines to each other, so one that is in force is not extended.
	 * @param part the part
	 * @param remainingNanos remaining time of the quarantine, in nanoseconds
	 * @param nowNanos the current time
	 * @return false if it was quarantined already
	 */
	public boolean apply(PromptPart part, long remainingNanos, long nowNanos) {
		if (isQuarantined(part, nowNanos)) {
			return false;
		}
		this.quarantinedUntilNanos.remove(part);
		evictEldest(this.quarantinedUntilNanos);
		this.quarantinedUntilNanos.put(part, nowNanos + Math.min(remainingNanos, this.retentionNanos));
		return true;
	}

	/**
	 * Return whether requests with a part must be refused.
	 * @param part the part
	 * @param nowNanos the current time
	 * @return true while the part is quarantined
	 */
	public boolean isQuarantined(PromptPart part, long nowNanos) {
		Long until = this.quarantinedUntilNanos.get(part);
		return until != null && nowNanos - until < 0;
	}

	/**
	 * Return the parts in quarantine with their remaining times.
	 * @param nowNanos the current time
	 * @return the remaining times in nanoseconds
	 */
	public Map<PromptPart, Long> remainingNanos(long nowNanos) {
		return this.quarantinedUntilNanos.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue() < 0)
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue() - nowNanos));
	}

	/**
	 * Request that ran on a server that crashed, without having produced output there.
	 *
	 * @param parts parts of its prompt that other requests may share, in their order
	 * @param sentNanos time at which it was sent to the server
	 */
	public record Suspect(List<PromptPart> parts, long sentNanos) {

		public Suspect {
			parts = List.copyOf(parts);
		}

	}

	/**
	 * Decision to quarantine a part.
	 *
	 * @param part the part
	 * @param servers the servers that crashed under requests with it
	 */
	public record Decision(PromptPart part, List<String> servers) {
	}

	/**
	 * Parts that are suspected of the same crashes, in the order of time.
	 */
	private record Cause(List<Crash> crashes, Set<PromptPart> parts) {

		boolean explainsLessThan(List<Crash> others) {
			return others.size() > this.crashes.size() && others.containsAll(this.crashes);
		}

		boolean isOfSameRequests() {
			return this.crashes.stream()
				.allMatch((crash) -> crash.suspects.stream()
					.anyMatch((suspect) -> suspect.parts().containsAll(this.parts)));
		}

		int crashesInSequence() {
			int count = 0;
			long previousNanos = 0;
			for (Crash crash : this.crashes) {
				if (count == 0 || crash.hasSuspectSentAfter(previousNanos, this.parts)) {
					count++;
					previousNanos = crash.atNanos;
				}
			}
			return count;
		}

	}

	private static final class Crash {

		private final String server;

		private final long atNanos;

		private final Set<Suspect> suspects = new HashSet<>();

		private boolean own;

		Crash(String server, long atNanos) {
			this.server = server;
			this.atNanos = atNanos;
		}

		boolean hasSuspectSentAfter(long nanos, Set<PromptPart> parts) {
			return this.suspects.stream()
				.filter((suspect) -> suspect.sentNanos() - nanos >= 0)
				.anyMatch((suspect) -> suspect.parts().stream().anyMatch(parts::contains));
		}

	}

}
