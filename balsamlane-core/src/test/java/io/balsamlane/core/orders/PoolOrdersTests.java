package io.balsamlane.core.orders;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PoolOrders}. Guards against orders of an earlier lease holder that
 * override those of a later one, and against orders that never converge.
 */
class PoolOrdersTests {

	private static final long FAULT_MILLIS = 20 * OrderSimulation.LEASE_MILLIS;

	private static final long FAULT_FREE_MILLIS = 20 * OrderSimulation.LEASE_MILLIS;

	/** Loads are frequent enough to collide if two holders issue orders concurrently. */
	private static final int FREQUENT_LOADS_PER_MINUTE = 30_000;

	/** The interval between two loads exceeds the time for which a successor waits. */
	private static final int RARE_LOADS_PER_MINUTE = 120;

	@Property(tries = 300, seed = "20261204")
	void enginesWithoutFencingApplyOrdersInHolderOrder(@ForAll @LongRange(min = 1) long seed,
			@ForAll @IntRange(min = 2, max = 4) int holders) {
		OrderSimulation simulation = new OrderSimulation(seed, holders, false, 2 * OrderSimulation.ORDER_MILLIS - 10,
				FREQUENT_LOADS_PER_MINUTE);
		simulation.run(FAULT_MILLIS, FAULT_FREE_MILLIS);
		assertThat(simulation.violations).isEmpty();
		assertConverged(simulation);
	}

	@Property(tries = 300, seed = "20261204")
	void enginesWithFencingApplyOrdersInHolderOrderDespiteLateOrders(@ForAll @LongRange(min = 1) long seed,
			@ForAll @IntRange(min = 2, max = 4) int holders) {
		OrderSimulation simulation = new OrderSimulation(seed, holders, true, 5 * OrderSimulation.LEASE_MILLIS,
				RARE_LOADS_PER_MINUTE);
		simulation.run(FAULT_MILLIS, FAULT_FREE_MILLIS);
		assertThat(simulation.violations).isEmpty();
		assertConverged(simulation);
	}

	/**
	 * Guards against engines that remain in the state of an earlier holder because its
	 * orders arrived later than the timing assumption allows.
	 */
	@Property(tries = 100, seed = "20261204")
	void lateOrdersToEnginesWithoutFencingAreCorrected(@ForAll @LongRange(min = 1) long seed) {
		OrderSimulation simulation = new OrderSimulation(seed, 3, false, 5 * OrderSimulation.LEASE_MILLIS,
				FREQUENT_LOADS_PER_MINUTE);
		simulation.run(FAULT_MILLIS, FAULT_FREE_MILLIS);
		assertConverged(simulation);
	}

	private static void assertConverged(OrderSimulation simulation) {
		OrderSimulation.Holder last = simulation.holders.get(0);
		assertThat(last.orders.isConverged(last.clock())).isTrue();
		assertThat(simulation.engines.values())
			.allMatch((engine) -> engine.model.equals(simulation.lastModel()) && engine.role.equals("decode"));
	}

}
