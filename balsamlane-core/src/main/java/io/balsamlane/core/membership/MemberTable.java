package io.balsamlane.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;

/**
 * Bounded table of the other nodes, removed ones included until they are forgotten.
 */
final class MemberTable {

	private final int maxMembers;

	private final Map<String, MemberEntry> entries = new LinkedHashMap<>();

	private long digest;

	private int living;

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

	int living() {
		return this.living;
	}

	int dead() {
		return this.entries.size() - this.living;
	}

	long digest() {
		return this.digest;
	}

	long quietNanos(long nowNanos) {
		return nowNanos - this.changedNanos;
	}

	// Takes over a statement that won; returns false if the table has no room for a new
	// member.
	boolean put(MemberUpdate update, long nowNanos) {
		MemberEntry entry = this.entries.get(update.getHost());
		if (entry == null) {
			if (!makeRoom(update.getStatus() == MemberStatus.DEAD, nowNanos)) {
				return false;
			}
			entry = new MemberEntry(update, nowNanos);
			this.entries.put(update.getHost(), entry);
		}
		else {
			subtract(entry);
			entry.set(update, nowNanos);
		}
		add(entry);
		if (update.getStatus() != MemberStatus.SUSPECT) {
			this.changed = true;
			this.changedNanos = nowNanos;
		}
		return true;
	}

	private boolean makeRoom(boolean dead, long nowNanos) {
		if (this.entries.size() >= this.maxMembers && !dead) {
			this.entries.values()
				.stream()
				.filter(MemberEntry::dead)
				.max(Comparator.comparingLong((MemberEntry entry) -> entry.ageNanos(nowNanos)))
				.ifPresent((oldest) -> this.entries.remove(oldest.host()));
		}
		return this.entries.size() < this.maxMembers;
	}

	void forgetDead(long olderThanNanos, long nowNanos) {
		if (dead() > 0) {
			this.entries.values().removeIf((entry) -> entry.dead() && entry.ageNanos(nowNanos) > olderThanNanos);
		}
	}

	private void subtract(MemberEntry entry) {
		this.digest ^= entry.digest();
		this.living -= entry.dead() ? 0 : 1;
	}

	private void add(MemberEntry entry) {
		this.digest ^= entry.digest();
		this.living += entry.dead() ? 0 : 1;
	}

	// Tells whether the members changed since the last call.
	boolean takeChanged() {
		boolean result = this.changed;
		this.changed = false;
		return result;
	}

	void markChanged() {
		this.changed = true;
	}

}
