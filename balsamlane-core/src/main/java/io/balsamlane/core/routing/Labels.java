package io.balsamlane.core.routing;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.balsamlane.schema.Caller;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;

/**
 * Builds the labels of requests and targets that selectors are evaluated against.
 */
final class Labels {

	static final String CALLER = "caller";

	static final String MODEL = "model";

	static final String SERVICE = "service";

	/** Request label keys whose values depend on the target and the entry router only. */
	static final Set<String> CALLER_INDEPENDENT_KEYS = Set.of(MODEL, SERVICE, "place", "region");

	private Labels() {
	}

	static Map<String, String> ofPool(Pool pool) {
		Map<String, String> labels = new HashMap<>(pool.getLabelsMap());
		labels.put("name", pool.getName());
		labels.put("role", pool.getRole().name().toLowerCase(Locale.ROOT));
		labels.put(MODEL, pool.getModel());
		labels.put("place", pool.getPlace());
		return labels;
	}

	static Map<String, String> ofService(PlainService service) {
		Map<String, String> labels = new HashMap<>(service.getLabelsMap());
		labels.put("name", service.getName());
		labels.put(SERVICE, service.getName());
		return labels;
	}

	static Map<String, String> ofCaller(Caller caller) {
		Map<String, String> labels = new HashMap<>(caller.getLabelsMap());
		labels.keySet().removeAll(CALLER_INDEPENDENT_KEYS);
		labels.remove(CALLER);
		if (!caller.getName().isEmpty()) {
			labels.put(CALLER, caller.getName());
		}
		return labels;
	}

	static Map<String, String> ofTarget(String key, String target, String place, String region) {
		return Map.of(key, target, "place", place, "region", region);
	}

}
