package io.balsamlane.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;

/**
 * Bounded table of the other nodes. Removed nodes are kept until their tombstone expires.
 */
final class MemberTable {

	private final int maxMembers;

	private final Map<String, MemberEntry> entries = new LinkedHashMap<>();

	private long digest;

	private int liveCount;

	private boolean changed;

	private long changedNanos;

	MemberTable(int maxMembers, long nowNanos) {
		this.maxMembers = maxMembers;
		this.changedNanos = nowNanos;
	}

	Optional<MemberEntry> find(String host) {
		return Optional.ofNullable(this.entries.get(host));
	}

	Collection<MemberEntry> entries() {
		return this.entries.values();
	}

	List<MemberEntry> select(Predicate<MemberEntry> condition) {
		return this.entries.values().stream().filter(condition).toList();
	}

	int size() {
		return this.entries.size();
	}

	int liveCount() {
		return this.liveCount;
	}

	int deadCount() {
		return this.entries.size() - this.liveCount;
	}

	long digest() {
		return this.digest;
	}

	long nanosSinceChange(long nowNanos) {
		return nowNanos - this.changedNanos;
	}

	// Store an update that overrides the current one. Return false if the table has no
	// room for a new member.
	boolean put(MemberUpdate update, long nowNanos) {
		MemberEntry entry = this.entries.get(update.getHost());
		if (entry == null) {
			if (!ensureCapacity(update.getStatus() == MemberStatus.DEAD, nowNanos)) {
				return false;
			}
			entry = new MemberEntry(update, nowNanos);
			this.entries.put(update.getHost(), entry);
		}
		else {
			removeFromTotals(entry);
			entry.set(update, nowNanos);
		}
		addToTotals(entry);
		if (update.getStatus() != MemberStatus.SUSPECT) {
			this.changed = true;
			this.changedNanos = nowNanos;
		}
		return true;
	}

	private boolean ensureCapacity(boolean dead, long nowNanos) {
		if (this.entries.size() >= this.maxMembers && !dead) {
			this.entries.values()
				.stream()
				.filter(MemberEntry::dead)
				.max(Comparator.comparingLong((MemberEntry entry) -> entry.nanosSinceChange(nowNanos)))
				.ifPresent((oldest) -> this.entries.remove(oldest.host()));
		}
		return this.entries.size() < this.maxMembers;
	}

	void removeExpired(long olderThanNanos, long nowNanos) {
		if (deadCount() > 0) {
			this.entries.values()
				.removeIf((entry) -> entry.dead() && entry.nanosSinceChange(nowNanos) > olderThanNanos);
		}
	}

	private void removeFromTotals(MemberEntry entry) {
		this.digest ^= entry.digest();
		this.liveCount -= entry.dead() ? 0 : 1;
	}

	private void addToTotals(MemberEntry entry) {
		this.digest ^= entry.digest();
		this.liveCount += entry.dead() ? 0 : 1;
	}

	// Return whether the members have changed since the last call.
	boolean getAndClearChanged() {
		boolean result = this.changed;
		this.changed = false;
		return result;
	}

	void markChanged() {
		this.changed = true;
	}

	// Return the members that are eligible to own keys, including this node unless it is
	// leaving.
	MemberView view(MemberUpdate self) {
		Stream<Member> owners = this.entries.values().stream().filter(MemberEntry::eligible).map(MemberEntry::member);
		Member present = MemberEntry.memberOf(self);
		return new MemberView(present,
				Stream.concat((self.getStatus() == MemberStatus.ALIVE) ? Stream.of(present) : Stream.empty(), owners)
					.toList());
	}

}
