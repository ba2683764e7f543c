package io.balsamlane.core.membership;

import java.util.List;

import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FailureDetectorTests {

	// Guards against a paused owner that still acts on its keys after other members have
	// taken them over.
	@Test
	void pausedMemberIsUnconfirmedUntilItReportsItsRemoval() {
		DetectorFleet fleet = convergedFleet(5);
		fleet.pause("node-1", 6_000);
		fleet.run(5_990);
		assertThat(fleet.view("node-2")).doesNotContain("node-1");
		fleet.await(100, () -> fleet.reported().stream().anyMatch(MembershipAction.Paused.class::isInstance));
		assertThat(fleet.node("node-1").detector().confirmed()).isFalse();
		assertThat(fleet.awaitConvergence(5_000)).isLessThan(5_000);
		assertThat(fleet.await(1_000, () -> fleet.node("node-1").detector().confirmed())).isLessThan(1_000);
		assertThat(fleet.reported()).contains(new MembershipAction.RemovalRefuted(1, 2));
	}

	// Guards against a leaving router that still owns shards while it drains.
	@Test
	void leavingMemberIsRemovedFromViewsButKeepsItsAddress() {
		DetectorFleet fleet = convergedFleet(5);
		DetectorFleet.Node leaving = fleet.node("node-3");
		fleet.perform(leaving, leaving.detector().leave(fleet.nowNanos()));
		long millis = fleet.await(1_000,
				() -> fleet.running().stream().noneMatch((name) -> fleet.view(name).contains("node-3")));
		assertThat(millis).isLessThan(1_000);
		assertThat(fleet.node("node-0").detector().endpoint(HostName.of("node-3"))).isPresent();
	}

	// Guards against waiting for the next probe round although a reset TCP connection has
	// already indicated the failure of a peer.
	@Test
	void connectionLossStartsSuspicionImmediately() {
		DetectorFleet fleet = convergedFleet(4);
		fleet.kill("node-2");
		DetectorFleet.Node observer = fleet.node("node-0");
		fleet.perform(observer, observer.detector().connectionLost(HostName.of("node-2"), fleet.nowNanos()));
		assertThat(fleet.awaitConvergence(DetectorFleet.SETTINGS.suspicionMillis() + 200))
			.isLessThan(DetectorFleet.SETTINGS.suspicionMillis() + 200);
	}

	// Guards against unbounded memory use when peers announce an unlimited number of
	// hosts.
	@Test
	void tableStaysBoundedWhenPeersAnnounceManyHosts() {
		DetectorFleet fleet = convergedFleet(2);
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

	// Guards against a new configuration revision that is sent only with the regular
	// probe rounds instead of at once.
	@Test
	void revisionAndStoreContactReachAllMembers() {
		DetectorFleet fleet = convergedFleet(12);
		fleet.node("node-0").detector().announceRevision(7);
		fleet.node("node-0").detector().recordStoreContact(fleet.nowNanos());
		fleet.run(3_000);
		assertThat(fleet.reported().stream().filter(MembershipAction.RevisionAnnounced.class::isInstance)).hasSize(11);
		assertThat(fleet.running())
			.allMatch((name) -> fleet.node(name).detector().storeAgeMillis(fleet.nowNanos()) < 3_100);
	}

	private static DetectorFleet convergedFleet(int size) {
		DetectorFleet fleet = new DetectorFleet(size, 5);
		fleet.awaitConvergence(5_000);
		fleet.run(2_000);
		fleet.reported().clear();
		return fleet;
	}

}
