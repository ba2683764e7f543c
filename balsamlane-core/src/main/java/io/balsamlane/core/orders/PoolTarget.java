package io.balsamlane.core.orders;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

import io.balsamlane.core.orders.EngineOrder.Kind;
import io.balsamlane.schema.Pool;

/**
 * The state that every engine of a pool shall have.
 *
 * @param role {@code prefill} or {@code decode}
 * @param model the model
 * @param adapters the adapters
 * @param checksFencing whether the engines refuse orders with an old fencing number
 */
public record PoolTarget(String role, String model, List<String> adapters, boolean checksFencing) {

	public PoolTarget {
		Objects.requireNonNull(role, "role");
		Objects.requireNonNull(model, "model");
		adapters = adapters.stream().sorted().toList();
	}

	/**
	 * Reads the target from the configuration.
	 * @param pool the pool
	 * @return the target
	 */
	public static PoolTarget of(Pool pool) {
		return new PoolTarget(pool.getRole().name().toLowerCase(Locale.ROOT), pool.getModel(), pool.getAdaptersList(),
				pool.getChecksFencing());
	}

	/**
	 * Finds the next order that an engine needs. The model comes first, because loading a
	 * model may drop the adapters.
	 * @param state the engine's state
	 * @return the order, empty if the engine has the target state
	 */
	Optional<EngineOrder> firstDifference(EngineState state) {
		if (!state.model().equals(this.model)) {
			return Optional.of(new EngineOrder(Kind.MODEL, this.model));
		}
		if (!state.adapters().equals(this.adapters)) {
			return Optional.of(new EngineOrder(Kind.ADAPTERS, String.join(",", this.adapters)));
		}
		if (!state.role().equals(this.role)) {
			return Optional.of(new EngineOrder(Kind.ROLE, this.role));
		}
		return Optional.empty();
	}

	/**
	 * Counts the loads from the weight store that an order causes.
	 * @param order the order
	 * @param state the engine's state before it
	 * @return the number of models and adapters to load
	 */
	int loads(EngineOrder order, EngineState state) {
		return switch (order.kind()) {
			case MODEL -> 1;
			case ADAPTERS ->
				(int) this.adapters.stream().filter((adapter) -> !state.adapters().contains(adapter)).count();
			case ROLE -> 0;
		};
	}

}
