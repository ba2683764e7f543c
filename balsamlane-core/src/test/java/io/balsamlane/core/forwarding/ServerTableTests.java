package io.balsamlane.core.forwarding;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to servers that are leaving, removed or restarted, and against
 * losing live servers whose entries expired during an outage of the store.
 */
class ServerTableTests {

	private static final long GRACE_NANOS = 2_000;

	private final ServerTable table = ServerTable.create(GRACE_NANOS, 3);

	private static ListedServer server(String name, boolean leaving, long startedMillis) {
		return ForwardingFixture.server(name, EngineStage.NONE, "here", leaving, startedMillis);
	}

	private List<String> usable() {
		return this.table.usable("notes").stream().map((server) -> server.name().value()).toList();
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

}
