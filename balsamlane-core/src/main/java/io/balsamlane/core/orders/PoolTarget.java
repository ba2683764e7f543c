package io.balsamlane.core.orders;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

import io.balsamlane.core.orders.EngineOrder.Kind;
import io.balsamlane.schema.Pool;

/**
 * Target state of every engine in a pool.
 *
 * @param role {@code prefill} or {@code decode}
 * @param model name of the model to load
 * @param adapters names of the adapters to load
 * @param checksFencing whether the engines reject orders with an outdated fencing number
 */
public record PoolTarget(String role, String model, List<String> adapters, boolean checksFencing) {

	public PoolTarget {
		Objects.requireNonNull(role, "role");
		Objects.requireNonNull(model, "model");
		adapters = adapters.stream().sorted().toList();
	}

	/**
	 * Create the target state of a configured pool.
	 * @param pool configuration of the pool
	 * @return the target state
	 */
	public static PoolTarget of(Pool pool) {
		return new PoolTarget(pool.getRole().name().toLowerCase(Locale.ROOT), pool.getModel(), pool.getAdaptersList(),
				pool.getChecksFencing());
	}

	/**
	 * Return the next order that an engine needs. The model is ordered first, because
	 * loading a model may unload the adapters.
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
	 * Return the number of loads from the weight store that an order causes.
	 * @param order the order
	 * @param state the engine's state before the order
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
