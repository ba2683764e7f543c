package io.balsamlane.core.forwarding;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to servers that are leaving, gone or started again, and against
 * losing live servers whose entries lapsed with the store.
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
	void serverThatSaidItIsLeavingStaysOutUntilItIsStartedAgain() {
		this.table.put(server("a", false, 1));
		assertThat(this.table.markLeaving(server("a", false, 1))).isTrue();
		this.table.put(server("a", false, 1));
		assertThat(usable()).isEmpty();
		this.table.put(server("a", false, 2));
		assertThat(usable()).containsExactly("a");
	}

	@Test
	void leavingAnswerOfAnEarlierIncarnationDoesNotTouchTheNextOne() {
		this.table.put(server("a", false, 2));
		assertThat(this.table.markLeaving(server("a", false, 1))).isFalse();
		assertThat(usable()).containsExactly("a");
	}

	@Test
	void removedServerIsGoneAtOnce() {
		this.table.put(server("a", false, 1));
		this.table.remove(server("a", false, 1).name(), false, 0);
		assertThat(usable()).isEmpty();
	}

	@Test
	void serverMissingAfterAnOutageIsKeptForTheGracePeriodOnly() {
		this.table.put(server("a", false, 1));
		this.table.put(server("b", false, 1));
		this.table.replaceAll(List.of(), true, 0);
		assertThat(usable()).containsExactly("a", "b");
		this.table.put(server("b", false, 1));
		this.table.expire(GRACE_NANOS);
		assertThat(usable()).containsExactly("b");
	}

	@Test
	void leavingServerMissingAfterAnOutageIsGoneAtOnce() {
		this.table.put(server("a", true, 1));
		this.table.replaceAll(List.of(), true, 0);
		assertThat(this.table.size()).isZero();
	}

	@Test
	void removalRepeatedDuringTheGracePeriodDoesNotLengthenIt() {
		this.table.put(server("a", false, 1));
		this.table.remove(server("a", false, 1).name(), true, 0);
		this.table.remove(server("a", false, 1).name(), true, GRACE_NANOS - 1);
		this.table.expire(GRACE_NANOS);
		assertThat(usable()).isEmpty();
	}

	@Test
	void serversBeyondTheBoundAreLeftOut() {
		List.of("a", "b", "c", "d").forEach((name) -> this.table.put(server(name, false, 1)));
		assertThat(usable()).containsExactly("a", "b", "c");
	}

}
