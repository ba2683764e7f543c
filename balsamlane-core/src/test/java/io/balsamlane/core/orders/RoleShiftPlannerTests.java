package io.balsamlane.core.orders;

import io.balsamlane.schema.EngineRole;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RoleShiftPlanner}. Guards against oscillation, in which engines change
 * roles so often that they are mostly out of service.
 */
class RoleShiftPlannerTests {

	private static final long CHANGE_NANOS = 60;

	private static final DomainDemand PREFILL_BUSY = new DomainDemand(3.9, 4, 2, 4, 0);

	private static final DomainDemand DECODE_BUSY = new DomainDemand(2, 4, 3.9, 4, 0);

	@Test
	void changeIsSuggestedOnceShiftHasLastedTwiceTheChangeDuration() {
		RoleShiftPlanner planner = RoleShiftPlanner.create(true, CHANGE_NANOS, 600, 0);
		assertThat(planner.observe(PREFILL_BUSY, 0)).isInstanceOf(ShiftSuggestion.NoChange.class);
		assertThat(planner.observe(PREFILL_BUSY, 119)).isInstanceOf(ShiftSuggestion.NoChange.class);
		assertThat(planner.observe(PREFILL_BUSY, 120)).isEqualTo(new ShiftSuggestion.ChangeRole(EngineRole.PREFILL));
		assertThat(planner.observe(PREFILL_BUSY, 719)).isInstanceOf(ShiftSuggestion.NoChange.class);
	}

	@Test
	void idleEngineIsPreferredToChangeOfRole() {
		RoleShiftPlanner planner = RoleShiftPlanner.create(true, CHANGE_NANOS, 600, 0);
		DomainDemand demand = new DomainDemand(1, 4, 3.9, 4, 1);
		planner.observe(demand, 0);
		assertThat(planner.observe(demand, 120)).isEqualTo(new ShiftSuggestion.LoadOnIdle(EngineRole.DECODE));
	}

	@Test
	void poolThatWouldBecomeOverloadedGivesUpNoEngine() {
		RoleShiftPlanner planner = RoleShiftPlanner.create(true, CHANGE_NANOS, 600, 0);
		DomainDemand demand = new DomainDemand(2.2, 4, 3.9, 4, 0);
		planner.observe(demand, 0);
		assertThat(planner.observe(demand, 10_000)).isInstanceOf(ShiftSuggestion.NoChange.class);
	}

	@Test
	void disabledPlannerSuggestsNothing() {
		RoleShiftPlanner planner = RoleShiftPlanner.create(false, CHANGE_NANOS, 600, 0);
		planner.observe(PREFILL_BUSY, 0);
		assertThat(planner.observe(PREFILL_BUSY, 10_000)).isInstanceOf(ShiftSuggestion.NoChange.class);
	}

	/**
	 * The required duration doubles with each reversal, from 240 to 7,680. Periodic
	 * demand with half periods of up to 5,000 therefore causes the first change and at
	 * most five reversals.
	 */
	@Property(tries = 200, seed = "20261204")
	void periodicDemandCausesFewReversals(@ForAll @IntRange(min = 10, max = 5000) int halfPeriod) {
		RoleShiftPlanner planner = RoleShiftPlanner.create(true, CHANGE_NANOS, 0, 0);
		int reversals = 0;
		ShiftSuggestion last = null;
		for (long now = 0; now < 100L * halfPeriod; now += 10) {
			ShiftSuggestion suggestion = planner.observe((now / halfPeriod % 2 == 0) ? PREFILL_BUSY : DECODE_BUSY, now);
			if (suggestion instanceof ShiftSuggestion.ChangeRole) {
				reversals += (last != null && !suggestion.equals(last)) ? 1 : 0;
				last = suggestion;
			}
		}
		assertThat(reversals).isLessThanOrEqualTo(5);
	}

}
