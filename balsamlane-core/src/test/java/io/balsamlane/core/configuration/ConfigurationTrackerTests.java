package io.balsamlane.core.configuration;

import java.util.Comparator;
import java.util.List;

import io.balsamlane.core.configuration.TrackerAction.AlarmKind;
import io.balsamlane.core.configuration.TrackerSimulation.Node;
import io.balsamlane.schema.Configuration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards guarantee 8: an accepted change is applied on every connected node within 4 s
 * and is never reverted, despite message reordering and loss, process pauses, network
 * partitions and store outages.
 */
class ConfigurationTrackerTests {

	private static final long PROPAGATION_TARGET_MILLIS = 4000;

	@Property(tries = 60, seed = "8101")
	void revisionsIncreaseAndAcceptedChangesSurviveFaults(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 3) int places, @ForAll @IntRange(min = 1, max = 6) int perPlace) {
		TrackerSimulation simulation = new TrackerSimulation(seed, places, perPlace);
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		int nodes = places * perPlace;
		for (int round = 0; round < 30; round++) {
			Node node = simulation.node(random.nextInt(nodes));
			injectFault(simulation, node, random, round);
			simulation.runMillis(random.nextInt(3000));
		}
		simulation.setStoreDown(false);
		simulation.setLossRate(0);
		simulation.nodes.values().forEach((node) -> {
			node.joinPartition(0);
			node.setDisconnectedFromStore(false);
			node.resume();
		});
		simulation.runMillis(PROPAGATION_TARGET_MILLIS);
		assertThat(simulation.nodes.values()).allSatisfy((node) -> {
			assertThat(node.appliedRevisions).isSortedAccordingTo(Comparator.naturalOrder()).doesNotHaveDuplicates();
			assertThat(node.applied()).isEqualTo(simulation.stored);
			assertThat(node.isolated()).isFalse();
		});
		assertThat(simulation.stored.getChangesList()).isEqualTo(simulation.acceptedChanges);
	}

	private static void injectFault(TrackerSimulation simulation, Node node, UniformRandomProvider random, int round) {
		switch (random.nextInt(8)) {
			case 0 -> node.pause();
			case 1 -> node.resume();
			case 2 -> node.joinPartition(random.nextInt(2));
			case 3 -> node.setDisconnectedFromStore(random.nextBoolean());
			case 4 -> simulation.setStoreDown(random.nextBoolean());
			case 5 -> simulation.setLossRate(random.nextDouble() * 0.4);
			default -> {
				if (!simulation.storeDown()) {
					simulation.submit(node, TrackerSimulation.change("c" + round, "s" + round, 0),
							random.nextInt(3) == 0);
				}
			}
		}
	}

	@Property(tries = 40, seed = "8102")
	void changeIsAppliedOnConnectedNodesWithinPropagationTarget(@ForAll long seed,
			@ForAll @IntRange(min = 2, max = 6) int perPlace) {
		TrackerSimulation simulation = new TrackerSimulation(seed, 3, perPlace);
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		simulation.submit(simulation.node(0), TrackerSimulation.change("first", "first", 0), false);
		simulation.runMillis(5000);
		simulation.setLossRate(0.1);
		Node paused = simulation.node(1);
		Node partitioned = simulation.node(2);
		paused.pause();
		partitioned.joinPartition(1);
		partitioned.setDisconnectedFromStore(true);
		simulation.node(3).setDisconnectedFromStore(true);
		simulation.runMillis(random.nextInt(6000));
		simulation.submit(simulation.node(3 + random.nextInt(3 * perPlace - 3)),
				TrackerSimulation.change("second", "second", 0), random.nextBoolean());
		simulation.runMillis(PROPAGATION_TARGET_MILLIS);
		List<Node> connected = simulation.nodes.values()
			.stream()
			.filter((node) -> node != paused && node != partitioned)
			.toList();
		assertThat(connected).extracting(Node::revision).containsOnly(2L);
		simulation.runMillis(random.nextInt(2000));
		assertThat(partitioned.isolated()).as("a node without any contact refuses new work").isTrue();
		assertThat(partitioned.revision()).isEqualTo(1);
		assertThat(paused.isolated()).as("a resumed node refuses new work until it receives a response").isTrue();
		simulation.setLossRate(0);
		partitioned.joinPartition(0);
		paused.resume();
		assertThat(paused.revision() == 2 || paused.isolated()).isTrue();
		simulation.runMillis(PROPAGATION_TARGET_MILLIS);
		assertThat(simulation.nodes.values()).extracting(Node::revision).containsOnly(2L);
		assertThat(simulation.nodes.values()).noneMatch(Node::isolated);
	}

	@Property(tries = 20, seed = "8103")
	void olderStoredDocumentRaisesAlarmAndIsNotApplied(@ForAll long seed) {
		TrackerSimulation simulation = new TrackerSimulation(seed, 2, 4);
		simulation.submit(simulation.node(0), TrackerSimulation.change("c1", "s1", 0), false);
		Configuration older = simulation.stored;
		simulation.submit(simulation.node(0), TrackerSimulation.change("c2", "s2", 0), false);
		simulation.runMillis(PROPAGATION_TARGET_MILLIS);
		simulation.setStoreDown(true);
		simulation.runMillis(30_000);
		assertThat(simulation.nodes.values()).noneMatch(Node::isolated);
		assertThat(simulation.nodes.values()).allMatch((node) -> node.alarm(AlarmKind.STORE_UNREACHABLE));
		simulation.setStoreDown(false);
		simulation.store(older);
		simulation.runMillis(PROPAGATION_TARGET_MILLIS);
		assertThat(simulation.nodes.values()).extracting(Node::revision).containsOnly(2L);
		assertThat(simulation.nodes.values()).anyMatch((node) -> node.alarm(AlarmKind.STORE_REGRESSED));
		// A router that knows only the older document edits it until its revision is
		// higher.
		EditResult second = ConfigurationEditor.apply(older, TrackerSimulation.change("x1", "s3", 0), 1);
		EditResult third = ConfigurationEditor.apply(((EditResult.Edited) second).configuration(),
				TrackerSimulation.change("x2", "s4", 0), 1);
		simulation.store(((EditResult.Edited) third).configuration());
		simulation.runMillis(PROPAGATION_TARGET_MILLIS);
		assertThat(simulation.nodes.values()).extracting(Node::revision).containsOnly(2L);
		assertThat(simulation.nodes.values()).anyMatch((node) -> node.alarm(AlarmKind.HISTORY_DIVERGED));
	}

	@Property(tries = 20, seed = "8104")
	void secondOfTwoConcurrentEditsOfAnObjectConflicts(@ForAll long seed) {
		TrackerSimulation simulation = new TrackerSimulation(seed, 2, 3);
		simulation.submit(simulation.node(0), TrackerSimulation.change("base", "shared", 0), false);
		simulation.runMillis(PROPAGATION_TARGET_MILLIS);
		EditResult first = simulation.submit(simulation.node(1), TrackerSimulation.change("a", "shared", 1), true);
		EditResult second = simulation.submit(simulation.node(2), TrackerSimulation.change("b", "shared", 1), false);
		assertThat(first).isInstanceOf(EditResult.Edited.class);
		assertThat(second).isEqualTo(new EditResult.Conflict("selector shared", 1, 2));
		assertThat(simulation.submit(simulation.node(1), TrackerSimulation.change("a", "shared", 1), false))
			.as("submitting again resolves a lost response")
			.isEqualTo(new EditResult.AlreadyAccepted(2));
		simulation.runMillis(PROPAGATION_TARGET_MILLIS);
		assertThat(simulation.nodes.values())
			.allSatisfy((node) -> assertThat(node.applied().getSelectors(0).getRequests()).isEqualTo("id = a"));
	}

	@Test
	void coldStartOfAllNodesStaysWithinStoreRateLimit() {
		TrackerSimulation simulation = new TrackerSimulation(7, 11, 37);
		simulation.store(((EditResult.Edited) ConfigurationEditor.apply(Configuration.getDefaultInstance(),
				TrackerSimulation.change("c", "s", 0), 1))
			.configuration());
		simulation.runMillis(PROPAGATION_TARGET_MILLIS);
		assertThat(simulation.nodes.values()).extracting(Node::revision).containsOnly(1L);
		int calls = simulation.nodes.values().stream().mapToInt((node) -> node.storeCalls).sum();
		assertThat(calls).as("two calls for each of two watchers in 11 places").isLessThan(2000);
	}

}
