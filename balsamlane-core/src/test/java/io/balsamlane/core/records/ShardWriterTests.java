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
 * Guards against a second run of a non-repeatable call, a false "not run" and a changed
 * outcome under lost answers, late effects, pauses, deaths and concurrent writers.
 */
class ShardWriterTests {

	private static final int MAX_STEPS = 120;

	@Property(tries = 2000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
	void threeWritersDispatchEachKeyOnce(@ForAll("threeWriters") ActionChain<RecordsWorld> chain) {
		chain.run().heal();
	}

	@Property(tries = 2000, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
	void notRunIsTrueWithOneWriter(@ForAll("oneWriter") ActionChain<RecordsWorld> chain) {
		chain.run().heal();
	}

	@Provide
	Arbitrary<ActionChain<RecordsWorld>> threeWriters() {
		return chain(3);
	}

	@Provide
	Arbitrary<ActionChain<RecordsWorld>> oneWriter() {
		return chain(1);
	}

	private static ActionChainArbitrary<RecordsWorld> chain(int writers) {
		return ActionChain.startWith(() -> new RecordsWorld(writers))
			.withAction(4, step("new copy", RecordsWorld::newCopy))
			.withAction(2, step("ask again", RecordsWorld::askAgain))
			.withAction(6, step("deliver", RecordsWorld::deliver))
			.withAction(1, step("lose reply", RecordsWorld::loseReply))
			.withAction(4, step("dispatch", RecordsWorld::dispatch))
			.withAction(3, step("report", RecordsWorld::report))
			.withAction(1, step("die", RecordsWorld::die))
			.withAction(1, step("change owner", RecordsWorld::changeOwner))
			.withAction(8, step("advance", RecordsWorld::advance))
			.withAction(10, step("answer of the store", (world, choice) -> world.answerStore(choice, true)))
			.withAction(2, step("late effect", RecordsWorld::takeEffectLate))
			.withAction(1, step("outage", (world, choice) -> world.setDown(choice % 3 == 0)))
			.withMaxTransformations(MAX_STEPS);
	}

	private static Action<RecordsWorld> step(String name, BiConsumer<RecordsWorld, Integer> step) {
		return new Action.Independent<>() {

			@Override
			public Arbitrary<Transformer<RecordsWorld>> transformer() {
				return Arbitraries.integers()
					.between(0, 1 << 20)
					.map((choice) -> Transformer.mutate(name + " " + choice, (world) -> step.accept(world, choice)));
			}

		};
	}

}
