package io.balsamlane.core.records;

import java.util.function.BiConsumer;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/**
 * Guards against a second run of a non-repeatable call, a call that is reported as not
 * run although it ran, and a changed outcome. The faults are lost answers, delayed
 * writes, pauses, crashes and concurrent writers.
 */
class ShardWriterTests {

	private static final int MAX_STEPS = 120;

	@Property(tries = 2000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
	void threeWritersDispatchEachKeyAtMostOnce(@ForAll("threeWriters") ActionChain<RecordsSimulation> chain) {
		chain.run().verifyAfterFaults();
	}

	@Property(tries = 2000, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
	void singleWriterReportsNotRunOnlyForCallsThatDidNotRun(@ForAll("oneWriter") ActionChain<RecordsSimulation> chain) {
		chain.run().verifyAfterFaults();
	}

	@Provide
	Arbitrary<ActionChain<RecordsSimulation>> threeWriters() {
		return chain(3);
	}

	@Provide
	Arbitrary<ActionChain<RecordsSimulation>> oneWriter() {
		return chain(1);
	}

	private static ActionChainArbitrary<RecordsSimulation> chain(int writers) {
		return ActionChain.startWith(() -> new RecordsSimulation(writers))
			.withAction(4, step("new copy", RecordsSimulation::newCopy))
			.withAction(2, step("ask again", RecordsSimulation::retry))
			.withAction(6, step("deliver", RecordsSimulation::deliver))
			.withAction(1, step("lose reply", RecordsSimulation::loseReply))
			.withAction(4, step("dispatch", RecordsSimulation::dispatch))
			.withAction(3, step("report", RecordsSimulation::report))
			.withAction(1, step("die", RecordsSimulation::crash))
			.withAction(1, step("change owner", RecordsSimulation::changeOwner))
			.withAction(8, step("advance", RecordsSimulation::advance))
			.withAction(10, step("answer of the store", (simulation, choice) -> simulation.answerStore(choice, true)))
			.withAction(2, step("late effect", RecordsSimulation::applyDelayedWrite))
			.withAction(1, step("outage", (simulation, choice) -> simulation.setStoreDown(choice % 3 == 0)))
			.withMaxTransformations(MAX_STEPS);
	}

	private static Action<RecordsSimulation> step(String name, BiConsumer<RecordsSimulation, Integer> step) {
		return new Action.Independent<>() {

			@Override
			public Arbitrary<Transformer<RecordsSimulation>> transformer() {
				return Arbitraries.integers()
					.between(0, 1 << 20)
					.map((choice) -> Transformer.mutate(name + " " + choice,
							(simulation) -> step.accept(simulation, choice)));
			}

		};
	}

}
