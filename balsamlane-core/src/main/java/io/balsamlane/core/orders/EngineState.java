package io.balsamlane.core.orders;

import java.util.List;
import java.util.Objects;

/**
 * What an engine reports about itself.
 *
 * @param role {@code prefill} or {@code decode}, empty if it has none
 * @param model the loaded model, empty if there is none
 * @param adapters the loaded adapters
 * @param fencing highest fencing number that the engine has seen, 0 if it keeps none
 * @param pendingOrders accepted orders that are not in force yet
 */
public record EngineState(String role, String model, List<String> adapters, long fencing, int pendingOrders) {

	public EngineState {
		Objects.requireNonNull(role, "role");
		Objects.requireNonNull(model, "model");
		adapters = adapters.stream().sorted().toList();
	}

}
