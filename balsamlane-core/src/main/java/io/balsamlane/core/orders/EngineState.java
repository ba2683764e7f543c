package io.balsamlane.core.orders;

import java.util.List;
import java.util.Objects;

/**
 * State that an engine reports.
 *
 * @param role {@code prefill} or {@code decode}, empty if none is set
 * @param model name of the loaded model, empty if none is loaded
 * @param adapters names of the loaded adapters
 * @param fencing highest fencing number that the engine has seen, 0 if the engine does
 * not track fencing numbers
 * @param pendingOrders number of accepted orders that have not taken effect yet
 */
public record EngineState(String role, String model, List<String> adapters, long fencing, int pendingOrders) {

	public EngineState {
		Objects.requireNonNull(role, "role");
		Objects.requireNonNull(model, "model");
		adapters = adapters.stream().sorted().toList();
	}

}
