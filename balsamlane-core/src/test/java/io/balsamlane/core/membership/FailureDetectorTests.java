package io.balsamlane.core.membership;

import java.util.List;

import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FailureDetectorTests {

	// Guards against a paused owner that acts on what it held after others took it over.
	@Test
	void pausedMemberReportsItsRemovalAndIsUnconfirmedUntilThen() {
		DetectorFleet fleet = agreed(5);
		fleet.pause("node-1", 6_000);
		fleet.run(5_990);
		assertThat(fleet.view("node-2")).doesNotContain("node-1");
		fleet.await(100, () -> fleet.observed().stream().anyMatch(MembershipAction.Paused.class::isInstance));
		assertThat(fleet.node("node-1").detector().confirmed()).isFalse();
		assertThat(fleet.awaitAgreement(5_000)).isLessThan(5_000);
		assertThat(fleet.await(1_000, () -> fleet.node("node-1").detector().confirmed())).isLessThan(1_000);
		assertThat(fleet.observed()).contains(new MembershipAction.RemovalRefuted(1, 2));
	}

	// Guards against a leaving router that goes on owning shards while it drains.
	@Test
	void leavingMemberOwnsNothingButKeepsItsAddress() {
		DetectorFleet fleet = agreed(5);
		DetectorFleet.Node leaving = fleet.node("node-3");
		fleet.perform(leaving, leaving.detector().leave(fleet.nowNanos()));
		long millis = fleet.await(1_000,
				() -> fleet.running().stream().noneMatch((name) -> fleet.view(name).contains("node-3")));
		assertThat(millis).isLessThan(1_000);
		assertThat(fleet.node("node-0").detector().endpoint(HostName.of("node-3"))).isPresent();
	}

	// Guards against waiting for a probe round although TCP has shown that a peer is
	// gone.
	@Test
	void connectionLossStartsSuspicionAtOnce() {
		DetectorFleet fleet = agreed(4);
		fleet.kill("node-2");
		DetectorFleet.Node witness = fleet.node("node-0");
		fleet.perform(witness, witness.detector().connectionLost(HostName.of("node-2"), fleet.nowNanos()));
		assertThat(fleet.awaitAgreement(DetectorFleet.SETTINGS.suspicionMillis() + 200))
			.isLessThan(DetectorFleet.SETTINGS.suspicionMillis() + 200);
	}

	// Guards against unbounded memory when peers announce hosts without end.
	@Test
	void tableStaysBoundedWhenHostsAreInvented() {
		DetectorFleet fleet = agreed(2);
		DetectorFleet.Node node = fleet.node("node-0");
		for (int i = 0; i < 1_000; i++) {
			MemberUpdate update = MemberUpdate.newBuilder()
				.setHost("invented-" + i)
				.setIncarnation(1)
				.setStatus(MemberStatus.forNumber(1 + i % 4))
				.setPlace("place")
				.setAddress("127.0.0.1")
				.setPeerPort(1)
				.build();
			MemberUpdate invalid = update.toBuilder().setPeerPort(0).setHost("invalid-" + i).build();
			fleet.perform(node, node.detector().synchronize(List.of(update, invalid), fleet.nowNanos()));
		}
		assertThat(node.detector().tableSize()).isLessThanOrEqualTo(DetectorFleet.SETTINGS.maxMembers() + 1);
	}

	// Guards against a new configuration revision that waits for probe rounds.
	@Test
	void revisionAndStoreAgeReachAllMembers() {
		DetectorFleet fleet = agreed(12);
		fleet.node("node-0").detector().revisionApplied(7);
		fleet.node("node-0").detector().storeContact(fleet.nowNanos());
		fleet.run(3_000);
		assertThat(fleet.observed().stream().filter(MembershipAction.RevisionHeard.class::isInstance)).hasSize(11);
		assertThat(fleet.running())
			.allMatch((name) -> fleet.node(name).detector().storeAgeMillis(fleet.nowNanos()) < 3_100);
	}

	private static DetectorFleet agreed(int size) {
		DetectorFleet fleet = new DetectorFleet(size, 5);
		fleet.awaitAgreement(5_000);
		fleet.run(2_000);
		fleet.observed().clear();
		return fleet;
	}

}
