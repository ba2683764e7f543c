package io.balsamlane.core.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to servers that are leaving, removed or restarted, and against
 * losing live servers whose entries expired during an outage of the store.
 */
class ServerTableTests {

	private static final long GRACE_NANOS = 2_000;

	private static final long NOW_NANOS = Long.MAX_VALUE - 1_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final ServerTable table = ServerTable.create(GRACE_NANOS, 3);

	private static ListedServer server(String name, boolean leaving, long startedMillis) {
		return ForwardingFixture.server(name, EngineStage.NONE, "here", leaving, startedMillis);
	}

	private List<String> usable() {
		return usable(0);
	}

	private List<String> usable(long atMillis) {
		return this.table.usable("notes", NOW_NANOS + atMillis * NANOS_PER_MILLI)
			.stream()
			.map((server) -> server.name().value())
			.toList();
	}

	@Test
	void leavingServerIsNotUsable() {
		this.table.put(server("a", false, 1));
		this.table.put(server("a", true, 1));
		assertThat(usable()).isEmpty();
	}

	@Test
	void serverThatAnnouncedShutdownIsExcludedUntilRestart() {
		this.table.put(server("a", false, 1));
		assertThat(this.table.markLeaving(server("a", false, 1))).isTrue();
		this.table.put(server("a", false, 1));
		assertThat(usable()).isEmpty();
		this.table.put(server("a", false, 2));
		assertThat(usable()).containsExactly("a");
	}

	@Test
	void crashedServerIsExcludedOnceItsSuccessorIsListed() {
		this.table.put(server("a", false, 1));
		assertThat(this.table.put(server("b", false, 2))).extracting(ServerTable.Change::kind)
			.containsExactly("superseded", "listed");
		assertThat(usable()).containsExactly("b");
	}

	@Test
	void lateEntryOfACrashedServerDoesNotExcludeItsSuccessor() {
		this.table.put(server("b", false, 2));
		this.table.put(server("a", false, 1));
		assertThat(usable()).containsExactly("b");
	}

	@Test
	void shutdownOfEarlierIncarnationDoesNotAffectCurrentOne() {
		this.table.put(server("a", false, 2));
		assertThat(this.table.markLeaving(server("a", false, 1))).isFalse();
		assertThat(usable()).containsExactly("a");
	}

	@Test
	void removedServerIsNotUsable() {
		this.table.put(server("a", false, 1));
		this.table.remove(server("a", false, 1).name(), false, 0);
		assertThat(usable()).isEmpty();
	}

	@Test
	void serverMissingAfterOutageIsKeptForGracePeriodOnly() {
		this.table.put(server("a", false, 1));
		this.table.put(server("b", false, 1));
		this.table.replaceAll(List.of(), true, 0);
		assertThat(usable()).containsExactly("a", "b");
		this.table.put(server("b", false, 1));
		this.table.expire(GRACE_NANOS);
		assertThat(usable()).containsExactly("b");
	}

	@Test
	void leavingServerMissingAfterOutageIsRemovedImmediately() {
		this.table.put(server("a", true, 1));
		this.table.replaceAll(List.of(), true, 0);
		assertThat(this.table.size()).isZero();
	}

	@Test
	void repeatedRemovalDoesNotExtendGracePeriod() {
		this.table.put(server("a", false, 1));
		this.table.remove(server("a", false, 1).name(), true, 0);
		this.table.remove(server("a", false, 1).name(), true, GRACE_NANOS - 1);
		this.table.expire(GRACE_NANOS);
		assertThat(usable()).isEmpty();
	}

	@Test
	void serversAboveMaximumAreLeftOut() {
		List.of("a", "b", "c", "d").forEach((name) -> this.table.put(server(name, false, 1)));
		assertThat(usable()).containsExactly("a", "b", "c");
	}

	// Guards against a server that left and is used again after an outage of the store.
	@Test
	void announcedShutdownOutlivesTheEntryOfTheServer() {
		this.table.put(server("a", false, 1));
		this.table.markLeaving(server("a", false, 1));
		this.table.remove(server("a", false, 1).name(), false, NOW_NANOS);
		this.table.put(server("a", false, 1));
		assertThat(usable()).isEmpty();
		assertThat(this.table.isUsable(server("a", false, 1), NOW_NANOS)).isFalse();
	}

	// Guards against a server that is used again because the store was restored from a
	// copy
	// of before it announced its shutdown.
	@Test
	void leavingServerStaysExcludedThoughRestoredListShowsItReady() {
		this.table.put(server("a", false, 1));
		this.table.put(server("a", true, 1));
		this.table.storeRestored(NOW_NANOS);
		this.table.replaceAll(List.of(server("a", false, 1)), true, NOW_NANOS);
		assertThat(usable()).isEmpty();
		// A second restoration during the first one's recovery.
		this.table.storeRestored(NOW_NANOS + 1000 * NANOS_PER_MILLI);
		this.table.replaceAll(List.of(server("a", false, 1)), true, NOW_NANOS + 4500 * NANOS_PER_MILLI);
		assertThat(usable()).isEmpty();
		// The entry outlives three heartbeat intervals, so its server renews it.
		this.table.replaceAll(List.of(server("a", false, 1)), true, NOW_NANOS + 5000 * NANOS_PER_MILLI);
		assertThat(usable()).containsExactly("a");
	}

	// Guards against a server that is used again because the store was restored from a
	// copy
	// of before it left.
	@Test
	void removedServerStaysExcludedThoughRestoredListShowsIt() {
		this.table.put(server("a", false, 1));
		this.table.remove(server("a", false, 1).name(), false, NOW_NANOS);
		this.table.storeRestored(NOW_NANOS + 1);
		this.table.replaceAll(List.of(server("a", false, 1), server("b", false, 1)), true, NOW_NANOS + 2);
		assertThat(usable()).containsExactly("b");
		this.table.put(server("a", false, 1));
		assertThat(usable()).containsExactlyInAnyOrder("a", "b");
	}

	@Test
	void nextIncarnationOfRemovedServerIsUsableAfterRestoration() {
		this.table.put(server("a", false, 1));
		this.table.remove(server("a", false, 1).name(), false, NOW_NANOS);
		this.table.storeRestored(NOW_NANOS + 1);
		this.table.replaceAll(List.of(server("a", false, 2)), true, NOW_NANOS + 2);
		assertThat(usable()).containsExactly("a");
	}

	@Test
	void serverThatRegistersAgainIsUsableWithoutRestoration() {
		this.table.put(server("a", false, 1));
		this.table.remove(server("a", false, 1).name(), false, NOW_NANOS);
		this.table.replaceAll(List.of(server("a", false, 1)), false, NOW_NANOS + 1);
		assertThat(usable()).containsExactly("a");
	}

	@Test
	void successorAtTheAddressOfLeavingServerIsUsable() {
		this.table.put(server("a", false, 1));
		this.table.markLeaving(server("a", false, 1));
		this.table.put(server("b", false, 2));
		assertThat(usable()).containsExactly("b");
	}

	@Test
	void heldBackServerIsExcludedForItsTime() {
		this.table.put(server("a", false, 1));
		assertThat(this.table.holdBack(server("a", false, 1), 700, NOW_NANOS)).isTrue();
		assertThat(this.table.holdBack(server("a", false, 1), 500, NOW_NANOS)).isFalse();
		this.table.remove(server("a", false, 1).name(), false, NOW_NANOS);
		this.table.put(server("a", false, 1));
		assertThat(usable(699)).isEmpty();
		assertThat(this.table.heldBackCount(NOW_NANOS)).isEqualTo(1);
		assertThat(this.table.returnMillis("notes", NOW_NANOS)).isBetween(700L, 701L);
		assertThat(this.table.present("notes")).hasSize(1);
		assertThat(usable(700)).containsExactly("a");
		assertThat(this.table.holdBack(server("a", false, 1), 100, NOW_NANOS + 700 * NANOS_PER_MILLI)).isTrue();
	}

	@Test
	void restartedServerIsNotHeldBack() {
		this.table.put(server("a", false, 1));
		this.table.holdBack(server("a", false, 1), 700, NOW_NANOS);
		this.table.put(server("a", false, 2));
		assertThat(usable()).containsExactly("a");
		assertThat(this.table.isUsable(server("a", false, 1), NOW_NANOS)).isFalse();
	}

	// Random orders of list changes, outages, announcements and times. An announcement
	// counts for its incarnation until its end, whatever the list says.
	@ParameterizedTest
	@MethodSource("seeds")
	void announcementsHoldInAnyOrderOfEvents(long seed) {
		Random random = new Random(seed);
		Map<String, Long> heldUntilNanos = new HashMap<>();
		Set<String> left = new HashSet<>();
		long nowNanos = NOW_NANOS;
		for (int step = 0; step < 2000; step++) {
			nowNanos += random.nextInt(200) * NANOS_PER_MILLI;
			String name = "abc".substring(random.nextInt(3)).substring(0, 1);
			ListedServer server = server(name, false, 1 + random.nextInt(2));
			String incarnation = name + server.startedMillis();
			switch (random.nextInt(6)) {
				case 0 -> this.table.put(server);
				case 1 -> this.table.remove(server.name(), random.nextBoolean(), nowNanos);
				case 2 -> this.table.replaceAll(List.of(server), random.nextBoolean(), nowNanos);
				case 3 -> this.table.expire(nowNanos);
				case 4 -> {
					long millis = 1 + random.nextInt(1000);
					this.table.holdBack(server, millis, nowNanos);
					long untilNanos = nowNanos + millis * NANOS_PER_MILLI;
					Long before = heldUntilNanos.get(incarnation);
					if (before == null || untilNanos - before > 0) {
						heldUntilNanos.put(incarnation, untilNanos);
					}
				}
				default -> {
					if (step > 1000) {
						this.table.markLeaving(server);
						left.add(incarnation);
					}
				}
			}
			long atNanos = nowNanos;
			assertThat(this.table.usable("notes", nowNanos)).allSatisfy((usable) -> {
				String used = usable.name().value() + usable.startedMillis();
				assertThat(left).doesNotContain(used);
				assertThat(heldUntilNanos.getOrDefault(used, atNanos) - atNanos).isLessThanOrEqualTo(0);
				assertThat(this.table.isUsable(usable, atNanos)).isTrue();
			});
		}
	}

	static LongStream seeds() {
		return LongStream.range(0, 50);
	}

}
