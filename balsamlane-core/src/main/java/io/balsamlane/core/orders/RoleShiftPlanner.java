package io.balsamlane.core.orders;

import java.util.Optional;

import io.balsamlane.core.orders.ShiftSuggestion.ChangeRole;
import io.balsamlane.core.orders.ShiftSuggestion.LoadOnIdle;
import io.balsamlane.core.orders.ShiftSuggestion.Stay;
import io.balsamlane.schema.EngineRole;

/**
 * Suggests to move an engine between the prefill and decode pools of one scheduling
 * domain, or to load the model on an idle engine, when demand has moved for longer than
 * the change costs.
 * <p>
 * A role asks for an engine above {@value #BUSY_PERCENT} percent of its capacity; the
 * other gives one only if it stays below {@value #SPARE_PERCENT} percent afterwards. The
 * gap is the hysteresis. Each change of direction doubles the time for which demand must
 * have moved, so a periodic swing causes few changes whatever its period. Times are in
 * nanoseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class RoleShiftPlanner {

	static final int BUSY_PERCENT = 90;

	static final int SPARE_PERCENT = 70;

	/** Demand must have moved for this many times the cost of the change. */
	static final int COST_FACTOR = 2;

	/** Most doublings of the required time. */
	private static final int MAX_DOUBLINGS = 6;

	private static final double PERCENT = 100.0;

	private final boolean enabled;

	private final long requiredNanos;

	private final long minimumStayNanos;

	private EngineRole wish = EngineRole.ENGINE_ROLE_UNSPECIFIED;

	private long wishSinceNanos;

	private EngineRole lastTo = EngineRole.ENGINE_ROLE_UNSPECIFIED;

	private long stayUntilNanos;

	private long lastReverseWishNanos;

	private int doublings;

	private RoleShiftPlanner(boolean enabled, long changeNanos, long minimumStayNanos, long nowNanos) {
		if (changeNanos <= 0 || minimumStayNanos < 0) {
			throw new IllegalArgumentException("A change takes time, and the minimum stay must not be negative");
		}
		this.enabled = enabled;
		this.requiredNanos = COST_FACTOR * changeNanos;
		this.minimumStayNanos = minimumStayNanos;
		this.stayUntilNanos = nowNanos;
		this.lastReverseWishNanos = nowNanos;
	}

	/**
	 * Creates a planner.
	 * @param enabled whether it suggests anything
	 * @param changeNanos time for which a change takes an engine out of service
	 * @param minimumStayNanos shortest time between two suggestions
	 * @param nowNanos the time
	 * @return the planner
	 */
	public static RoleShiftPlanner create(boolean enabled, long changeNanos, long minimumStayNanos, long nowNanos) {
		return new RoleShiftPlanner(enabled, changeNanos, minimumStayNanos, nowNanos);
	}

	/**
	 * Takes the present demand.
	 * @param demand the demand
	 * @param nowNanos the time
	 * @return the suggestion
	 */
	public ShiftSuggestion observe(DomainDemand demand, long nowNanos) {
		Optional<ShiftSuggestion> wished = this.enabled ? wish(demand) : Optional.empty();
		EngineRole role = wished.map(RoleShiftPlanner::roleOf).orElse(EngineRole.ENGINE_ROLE_UNSPECIFIED);
		if (role != this.wish) {
			this.wish = role;
			this.wishSinceNanos = nowNanos;
		}
		boolean reverses = wished.filter(ChangeRole.class::isInstance).isPresent() && reverses(role);
		if (reverses) {
			this.lastReverseWishNanos = nowNanos;
		}
		else if (nowNanos - this.lastReverseWishNanos > this.requiredNanos << MAX_DOUBLINGS) {
			this.doublings = 0;
		}
		long neededNanos = reverses ? this.requiredNanos << Math.min(MAX_DOUBLINGS, this.doublings + 1)
				: this.requiredNanos;
		if (wished.isEmpty() || nowNanos - this.wishSinceNanos < neededNanos || nowNanos - this.stayUntilNanos < 0) {
			return new Stay();
		}
		this.doublings += reverses ? 1 : 0;
		this.lastTo = role;
		this.wishSinceNanos = nowNanos;
		this.stayUntilNanos = nowNanos + this.minimumStayNanos;
		return wished.get();
	}

	private boolean reverses(EngineRole role) {
		return this.lastTo != EngineRole.ENGINE_ROLE_UNSPECIFIED && role != this.lastTo;
	}

	private static EngineRole roleOf(ShiftSuggestion suggestion) {
		return (suggestion instanceof ChangeRole change) ? change.to() : ((LoadOnIdle) suggestion).role();
	}

	private static Optional<ShiftSuggestion> wish(DomainDemand demand) {
		boolean prefillBusy = busy(demand.prefillNeeded(), demand.prefillEngines());
		boolean decodeBusy = busy(demand.decodeNeeded(), demand.decodeEngines());
		if (!prefillBusy && !decodeBusy) {
			return Optional.empty();
		}
		if (demand.idleEngines() > 0) {
			return Optional.of(new LoadOnIdle(decodeBusy ? EngineRole.DECODE : EngineRole.PREFILL));
		}
		if (prefillBusy && spares(demand.decodeNeeded(), demand.decodeEngines())) {
			return Optional.of(new ChangeRole(EngineRole.PREFILL));
		}
		if (decodeBusy && spares(demand.prefillNeeded(), demand.prefillEngines())) {
			return Optional.of(new ChangeRole(EngineRole.DECODE));
		}
		return Optional.empty();
	}

	private static boolean busy(double needed, int engines) {
		return needed * PERCENT > (double) engines * BUSY_PERCENT;
	}

	private static boolean spares(double needed, int engines) {
		return engines > 1 && needed * PERCENT <= (engines - 1.0) * SPARE_PERCENT;
	}

}
