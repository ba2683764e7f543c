package io.balsamlane.core.membership;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against live members that stay removed, dead members that stay listed and member
 * tables that do not converge, under random faults.
 */
class FailureDetectorPropertyTests {

	private static final long DETECTION_MILLIS = 3_000;

	private static final long CONVERGENCE_MILLIS = 5_000;

	@Property(tries = 60, seed = "11", shrinking = ShrinkingMode.OFF)
	void convergesAfterRandomFaultsEnd(@ForAll @IntRange(min = 2, max = 12) int size,
			@ForAll("faults") @Size(min = 1, max = 8) List<Fault> faults, @ForAll long seed) {
		DetectorFleet fleet = new DetectorFleet(size, seed);
		assertThat(fleet.awaitConvergence(CONVERGENCE_MILLIS)).as("joining").isLessThan(CONVERGENCE_MILLIS);
		faults.forEach((fault) -> {
			fault.apply(fleet, size);
			fleet.run(fault.millis());
		});
		fleet.heal();
		// A pause that the last fault started may last this much longer.
		fleet.run(Fault.MAX_MILLIS);
		assertThat(fleet.awaitConvergence(CONVERGENCE_MILLIS)).as("after healing").isLessThan(CONVERGENCE_MILLIS);
		fleet.run(CONVERGENCE_MILLIS);
		assertThat(fleet.awaitConvergence(1)).as("convergence lasts").isZero();
	}

	@Property(tries = 40, seed = "12", shrinking = ShrinkingMode.OFF)
	void convergesWithinFiveSecondsAfterPartition(@ForAll @IntRange(min = 2, max = 30) int size,
			@ForAll @IntRange(min = 1, max = 29) int cut, @ForAll @IntRange(min = 500, max = 20_000) int millis,
			@ForAll long seed) {
		DetectorFleet fleet = new DetectorFleet(size, seed);
		fleet.awaitConvergence(CONVERGENCE_MILLIS);
		fleet.partition(1 + cut % (size - 1));
		fleet.run(millis);
		fleet.heal();
		assertThat(fleet.awaitConvergence(CONVERGENCE_MILLIS)).isLessThan(CONVERGENCE_MILLIS);
	}

	@Property(tries = 60, seed = "13", shrinking = ShrinkingMode.OFF)
	void removesKilledMemberFromAllViewsWithinThreeSeconds(@ForAll @IntRange(min = 2, max = 40) int size,
			@ForAll @IntRange(min = 0, max = 700) int phaseMillis, @ForAll long seed) {
		DetectorFleet fleet = new DetectorFleet(size, seed);
		fleet.awaitConvergence(CONVERGENCE_MILLIS);
		fleet.run(phaseMillis);
		fleet.kill("node-0");
		assertThat(fleet.awaitConvergence(DETECTION_MILLIS)).isLessThan(DETECTION_MILLIS);
	}

	@Property(tries = 30, seed = "14", shrinking = ShrinkingMode.OFF)
	void removesNoMemberUnderDatagramLoss(@ForAll @IntRange(min = 3, max = 20) int size, @ForAll long seed) {
		DetectorFleet fleet = new DetectorFleet(size, seed);
		fleet.awaitConvergence(CONVERGENCE_MILLIS);
		fleet.setLoss(0.02);
		fleet.reported().clear();
		fleet.run(20_000);
		assertThat(fleet.reported()).noneMatch(MembershipAction.Removed.class::isInstance);
	}

	@Provide
	Arbitrary<List<Fault>> faults() {
		return Combinators
			.combine(Arbitraries.of(Fault.Kind.class), Arbitraries.integers().between(0, 11),
					Arbitraries.integers().between(0, 11), Arbitraries.integers().between(50, Fault.MAX_MILLIS))
			.as(Fault::new)
			.list();
	}

	/**
	 * A fault and the time until the next one is applied.
	 *
	 * @param kind the kind of fault
	 * @param first selects the affected node or the size of a partition
	 * @param second selects the receiver of a one-way block
	 * @param millis time until the next fault and length of a pause, in milliseconds
	 */
	record Fault(Kind kind, int first, int second, int millis) {

		private static final int MAX_MILLIS = 4_000;

		private void apply(DetectorFleet fleet, int size) {
			String a = "node-" + this.first % size;
			String b = "node-" + this.second % size;
			List<String> running = new ArrayList<>(fleet.running());
			switch (this.kind) {
				case LOSS -> fleet.setLoss(0.2);
				case ONE_WAY_BLOCK -> fleet.block(a, b);
				case INBOUND_BLOCK -> running.forEach((name) -> fleet.block(name, a));
				case OUTBOUND_BLOCK -> running.forEach((name) -> fleet.block(a, name));
				case PARTITION -> fleet.partition(1 + this.first % size);
				case PAUSE -> fleet.pause(a, this.millis);
				case KILL -> {
					if (running.size() > 1) {
						fleet.kill(a);
					}
				}
				case RESTART -> {
					fleet.kill(a);
					fleet.start(a);
				}
				default -> fleet.heal();
			}
		}

		/**
		 * Kind of fault.
		 */
		enum Kind {

			LOSS, ONE_WAY_BLOCK, INBOUND_BLOCK, OUTBOUND_BLOCK, PARTITION, PAUSE, KILL, RESTART, HEAL

		}

	}

}
