package io.balsamlane.router.store;

import java.nio.charset.StandardCharsets;
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

	private final StoreHistory history = new StoreHistory((key, value) -> value);

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

	private static PrefixRead.Changed written(long revision, String key, String value) {
		return new PrefixRead.Changed(List.of(new PrefixRead.Item(key, value.getBytes(StandardCharsets.UTF_8))),
				revision);
	}

	private static PrefixRead.Changed removed(long revision, String key) {
		return new PrefixRead.Changed(List.of(new PrefixRead.Item(key, null)), revision);
	}

	private static StoreHistory comparingFirstCharacter() {
		return new StoreHistory((key, value) -> value[0]);
	}

	@Test
	void valueWithSameMeaningIsLeftOutButAdvancesRevision() {
		StoreHistory compared = comparingFirstCharacter();
		assertThat(compared.add(10, written(11, "a", "x1"), 0).changes()).hasSize(1);
		assertThat(compared.add(11, written(12, "a", "x2"), 0).changes()).isEmpty();
		assertThat(compared.changesSince(11)).isEqualTo(new PrefixRead.Changed(List.of(), 12));
		assertThat(compared.add(12, written(13, "a", "y2"), 0).changes()).hasSize(1);
	}

	@Test
	void routerBehindTheLastMeaningfulValueReceivesIt() {
		StoreHistory compared = comparingFirstCharacter();
		compared.add(10, written(11, "a", "x1"), 0);
		compared.add(11, written(12, "a", "x2"), 0);
		assertThat(((PrefixRead.Changed) compared.changesSince(10)).changes()).extracting(PrefixRead.Item::key)
			.containsExactly("a");
	}

	@Test
	void entryWrittenAgainAfterItsRemovalIsPassedOn() {
		StoreHistory compared = comparingFirstCharacter();
		compared.add(10, written(11, "a", "x1"), 0);
		assertThat(compared.add(11, removed(12, "a"), 0).changes()).hasSize(1);
		assertThat(compared.add(12, written(13, "a", "x3"), 0).changes()).hasSize(1);
	}

	@Test
	void valueIsPassedOnAfterGapInWhichItMayHaveChanged() {
		StoreHistory compared = comparingFirstCharacter();
		compared.add(10, written(11, "a", "x1"), 0);
		assertThat(compared.add(20, written(21, "a", "x5"), 0).changes()).hasSize(1);
	}

}
