package io.balsamlane.router.store;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StoreHistory}. They guard against a router that misses changes that
 * another router has read, and against unnecessary full reads.
 */
class StoreHistoryTests {

	private static final PrefixRead.HistoryLost HISTORY_LOST = new PrefixRead.HistoryLost();

	private final StoreHistory history = new StoreHistory();

	private static PrefixRead.Changed changed(long revision, String... keys) {
		return new PrefixRead.Changed(
				List.of(keys).stream().map((key) -> new PrefixRead.Item(key, new byte[] { 1 })).toList(), revision);
	}

	private List<String> keysSince(long revision) {
		return ((PrefixRead.Changed) this.history.changesSince(revision)).changes()
			.stream()
			.map(PrefixRead.Item::key)
			.toList();
	}

	@Test
	void revisionsOfOtherKeysCauseNoFullRead() {
		this.history.add(10, changed(20), 0);
		assertThat(this.history.changesSince(10)).isEqualTo(new PrefixRead.Changed(List.of(), 20));
	}

	@Test
	void changesAfterRevisionAreReturnedInOrder() {
		this.history.add(10, changed(12, "a"), 0);
		this.history.add(12, changed(13), 0);
		this.history.add(13, changed(15, "b", "a"), 0);
		assertThat(keysSince(10)).containsExactly("a", "b", "a");
		assertThat(keysSince(12)).containsExactly("b", "a");
		assertThat(keysSince(15)).isEmpty();
		assertThat(this.history.changesSince(15)).isEqualTo(new PrefixRead.Changed(List.of(), 15));
	}

	@Test
	void routerAheadOfReaderKeepsItsRevision() {
		this.history.add(10, changed(12, "a"), 0);
		assertThat(this.history.changesSince(14)).isEqualTo(new PrefixRead.Changed(List.of(), 14));
	}

	@Test
	void changesBeforeFullReadOfReaderAreUnavailable() {
		this.history.add(10, changed(12, "a"), 0);
		this.history.add(30, changed(31, "b"), 0);
		assertThat(this.history.changesSince(12)).isEqualTo(HISTORY_LOST);
		assertThat(keysSince(30)).containsExactly("b");
	}

	@Test
	void droppedChangesAreUnavailable() {
		LongStream.range(0, 100).forEach((at) -> this.history.add(at, changed(at + 1, "k" + at), 0));
		assertThat(this.history.changesSince(0)).isEqualTo(HISTORY_LOST);
		assertThat(keysSince(98)).containsExactly("k98", "k99");
	}

	@Test
	void largeChangesAreUnavailable() {
		this.history.add(10, new PrefixRead.Changed(List.of(new PrefixRead.Item("a", new byte[100_000])), 11), 0);
		assertThat(this.history.changesSince(10)).isEqualTo(HISTORY_LOST);
	}

	@Test
	void unconfirmedViewAges() {
		assertThat(this.history.ageNanos(5)).isEqualTo(Long.MAX_VALUE);
		this.history.add(10, changed(12), 5);
		assertThat(this.history.ageNanos(25)).isEqualTo(20);
	}

}
