package io.balsamlane.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.balsamlane.schema.MemberStatus;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the members to probe.
 * <p>
 * Shuffled round robin spreads updates and probes every member within one cycle. In
 * addition, each node probes its successor on a hash ring, so that every member is probed
 * by one node in each round: with random targets alone, a dead member is still unprobed
 * after k rounds with probability e^-k, and the worst-case detection time of a large
 * cluster misses its target.
 */
final class ProbeOrder {

	private final MemberTable table;

	private final UniformRandomProvider random;

	private final long ringPosition;

	private final List<String> cycle = new ArrayList<>();

	ProbeOrder(MemberTable table, UniformRandomProvider random, String self) {
		this.table = table;
		this.random = random;
		this.ringPosition = RendezvousHash.score(self, "ring");
	}

	Optional<MemberEntry> nextInCycle() {
		Optional<MemberEntry> next = pollCycle();
		if (next.isEmpty()) {
			this.table.entries().stream().filter((entry) -> !entry.dead()).forEach((entry) -> insert(entry.host()));
			next = pollCycle();
		}
		return next;
	}

	private Optional<MemberEntry> pollCycle() {
		while (!this.cycle.isEmpty()) {
			Optional<MemberEntry> entry = this.table.find(this.cycle.remove(this.cycle.size() - 1))
				.filter((found) -> !found.dead());
			if (entry.isPresent()) {
				return entry;
			}
		}
		return Optional.empty();
	}

	private void insert(String host) {
		int position = this.random.nextInt(this.cycle.size() + 1);
		this.cycle.add(host);
		String displaced = this.cycle.set(position, host);
		this.cycle.set(this.cycle.size() - 1, displaced);
	}

	Optional<MemberEntry> ringSuccessor() {
		return this.table.entries()
			.stream()
			.filter((entry) -> entry.status() == MemberStatus.ALIVE || entry.status() == MemberStatus.LEAVING)
			.min(Comparator.comparing((MemberEntry entry) -> entry.ringPosition() - this.ringPosition,
					Long::compareUnsigned));
	}

	// Select distinct members at random, except the excluded host.
	List<MemberEntry> sample(int count, String excludedHost) {
		List<MemberEntry> candidates = new ArrayList<>(
				this.table.select((entry) -> !entry.dead() && !entry.host().equals(excludedHost)));
		int size = Math.min(count, candidates.size());
		for (int i = 0; i < size; i++) {
			int other = i + this.random.nextInt(candidates.size() - i);
			MemberEntry swapped = candidates.set(other, candidates.get(i));
			candidates.set(i, swapped);
		}
		return List.copyOf(candidates.subList(0, size));
	}

}
