package io.balsamlane.core.orders;

import java.util.Optional;

import io.balsamlane.core.orders.ShiftSuggestion.ChangeRole;
import io.balsamlane.core.orders.ShiftSuggestion.LoadOnIdle;
import io.balsamlane.core.orders.ShiftSuggestion.NoChange;
import io.balsamlane.schema.EngineRole;

/**
 * Suggests moving an engine between the prefill and decode pools of a scheduling domain,
 * or loading the model on an idle engine, once a shift in demand has lasted longer than
 * the change takes.
 * <p>
 * A role needs another engine above {@value #BUSY_PERCENT} percent of its capacity. The
 * other role gives one up only if its utilization afterwards is at most
 * {@value #SPARE_PERCENT} percent. The gap between these limits provides hysteresis. Each
 * reversal of direction doubles the time for which the demand must have shifted, so that
 * periodic demand causes few changes whatever its period. Times are in nanoseconds of a
 * monotonic clock. This class is not thread-safe.
 */
public final class RoleShiftPlanner {

	static final int BUSY_PERCENT = 90;

	static final int SPARE_PERCENT = 70;

	/** Multiple of the change duration for which the demand must have shifted. */
	static final int CHANGE_DURATION_FACTOR = 2;

	/** Maximum number of times that the required duration is doubled. */
	private static final int MAX_DOUBLINGS = 6;

	private static final double PERCENT = 100.0;

	private final boolean enabled;

	private final long baseDurationNanos;

	private final long minIntervalNanos;

	private EngineRole neededRole = EngineRole.ENGINE_ROLE_UNSPECIFIED;

	private long neededSinceNanos;

	private EngineRole lastRole = EngineRole.ENGINE_ROLE_UNSPECIFIED;

	private long nextChangeNanos;

	private long lastReversalNeedNanos;

	private int doublings;

	private RoleShiftPlanner(boolean enabled, long changeNanos, long minIntervalNanos, long nowNanos) {
		if (changeNanos <= 0 || minIntervalNanos < 0) {
			throw new IllegalArgumentException(
					"Change duration must be greater than 0 and the minimum interval must not be negative");
		}
		this.enabled = enabled;
		this.baseDurationNanos = CHANGE_DURATION_FACTOR * changeNanos;
		this.minIntervalNanos = minIntervalNanos;
		this.nextChangeNanos = nowNanos;
		this.lastReversalNeedNanos = nowNanos;
	}

	/**
	 * Create a planner.
	 * @param enabled whether the planner suggests changes
	 * @param changeNanos time for which a change takes an engine out of service, in
	 * nanoseconds
	 * @param minIntervalNanos minimum time between two suggested changes, in nanoseconds
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the planner
	 */
	public static RoleShiftPlanner create(boolean enabled, long changeNanos, long minIntervalNanos, long nowNanos) {
		return new RoleShiftPlanner(enabled, changeNanos, minIntervalNanos, nowNanos);
	}

	/**
	 * Evaluate the current demand.
	 * @param demand the current demand
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the suggestion
	 */
	public ShiftSuggestion observe(DomainDemand demand, long nowNanos) {
		Optional<ShiftSuggestion> change = this.enabled ? neededChange(demand) : Optional.empty();
		EngineRole role = change.map(RoleShiftPlanner::roleOf).orElse(EngineRole.ENGINE_ROLE_UNSPECIFIED);
		if (role != this.neededRole) {
			this.neededRole = role;
			this.neededSinceNanos = nowNanos;
		}
		boolean reversal = change.filter(ChangeRole.class::isInstance).isPresent() && isReversal(role);
		if (reversal) {
			this.lastReversalNeedNanos = nowNanos;
		}
		else if (nowNanos - this.lastReversalNeedNanos > this.baseDurationNanos << MAX_DOUBLINGS) {
			this.doublings = 0;
		}
		long requiredDurationNanos = reversal ? this.baseDurationNanos << Math.min(MAX_DOUBLINGS, this.doublings + 1)
				: this.baseDurationNanos;
		if (change.isEmpty() || nowNanos - this.neededSinceNanos < requiredDurationNanos
				|| nowNanos - this.nextChangeNanos < 0) {
			return new NoChange();
		}
		this.doublings += reversal ? 1 : 0;
		this.lastRole = role;
		this.neededSinceNanos = nowNanos;
		this.nextChangeNanos = nowNanos + this.minIntervalNanos;
		return change.get();
	}

	private boolean isReversal(EngineRole role) {
		return this.lastRole != EngineRole.ENGINE_ROLE_UNSPECIFIED && role != this.lastRole;
	}

	private static EngineRole roleOf(ShiftSuggestion suggestion) {
		return (suggestion instanceof ChangeRole roleChange) ? roleChange.to() : ((LoadOnIdle) suggestion).role();
	}

	private static Optional<ShiftSuggestion> neededChange(DomainDemand demand) {
		boolean prefillBusy = isBusy(demand.prefillNeeded(), demand.prefillEngines());
		boolean decodeBusy = isBusy(demand.decodeNeeded(), demand.decodeEngines());
		if (!prefillBusy && !decodeBusy) {
			return Optional.empty();
		}
		if (demand.idleEngines() > 0) {
			return Optional.of(new LoadOnIdle(decodeBusy ? EngineRole.DECODE : EngineRole.PREFILL));
		}
		if (prefillBusy && canGiveUpEngine(demand.decodeNeeded(), demand.decodeEngines())) {
			return Optional.of(new ChangeRole(EngineRole.PREFILL));
		}
		if (decodeBusy && canGiveUpEngine(demand.prefillNeeded(), demand.prefillEngines())) {
			return Optional.of(new ChangeRole(EngineRole.DECODE));
		}
		return Optional.empty();
	}

	private static boolean isBusy(double needed, int engines) {
		return needed * PERCENT > (double) engines * BUSY_PERCENT;
	}

	private static boolean canGiveUpEngine(double needed, int engines) {
		return engines > 1 && needed * PERCENT <= (engines - 1.0) * SPARE_PERCENT;
	}

}
