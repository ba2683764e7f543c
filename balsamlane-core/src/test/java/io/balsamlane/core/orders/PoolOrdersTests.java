package io.balsamlane.core.orders;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against orders of an earlier holder that win over those of a later one, and
 * against holders that never finish.
 */
class PoolOrdersTests {

	private static final long FAULTY_MILLIS = 20 * OrderSimulation.LEASE_MILLIS;

	private static final long QUIET_MILLIS = 20 * OrderSimulation.LEASE_MILLIS;

	@Property(tries = 300, seed = "20261204")
	void enginesThatIgnoreTheNumberSeeHoldersInOrder(@ForAll @LongRange(min = 1) long seed,
			@ForAll @IntRange(min = 2, max = 4) int holders) {
		OrderSimulation simulation = new OrderSimulation(seed, holders, false, 2 * OrderSimulation.ORDER_MILLIS - 10);
		simulation.run(FAULTY_MILLIS, QUIET_MILLIS);
		assertThat(simulation.violations).isEmpty();
		assertFinished(simulation);
	}

	@Property(tries = 300, seed = "20261204")
	void enginesThatCheckTheNumberSeeHoldersInOrderHoweverLateOrdersArrive(@ForAll @LongRange(min = 1) long seed,
			@ForAll @IntRange(min = 2, max = 4) int holders) {
		OrderSimulation simulation = new OrderSimulation(seed, holders, true, 5 * OrderSimulation.LEASE_MILLIS);
		simulation.run(FAULTY_MILLIS, QUIET_MILLIS);
		assertThat(simulation.violations).isEmpty();
		assertFinished(simulation);
	}

	/**
	 * Guards against engines that stay in the state of an earlier holder when its orders
	 * arrive later than the timing assumption allows.
	 */
	@Property(tries = 100, seed = "20261204")
	void lateOrdersToEnginesThatIgnoreTheNumberAreRepaired(@ForAll @LongRange(min = 1) long seed) {
		OrderSimulation simulation = new OrderSimulation(seed, 3, false, 5 * OrderSimulation.LEASE_MILLIS);
		simulation.run(FAULTY_MILLIS, QUIET_MILLIS);
		assertFinished(simulation);
	}

	private static void assertFinished(OrderSimulation simulation) {
		OrderSimulation.Holder last = simulation.holders.get(0);
		assertThat(last.orders.finished(last.clock())).isTrue();
		assertThat(simulation.engines.values())
			.allMatch((engine) -> engine.model.equals(simulation.lastModel()) && engine.role.equals("decode"));
	}

}
