package io.balsamlane.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

import io.balsamlane.bench.load.ModelCall;

/**
 * Stand-in for the platform's load balancer: spreads requests over the routers so that
 * each place receives its share of the capacity.
 */
final class Balancer {

	private final Map<Integer, Double> weights = new LinkedHashMap<>();

	private final Set<Integer> down = ConcurrentHashMap.newKeySet();

	private final long seed;

	Balancer(long seed) {
		this.seed = seed;
	}

	void add(int port, double weight) {
		this.weights.put(port, weight);
	}

	/**
	 * Sends no further requests to a router, as after a failed health check.
	 * @param port its port for callers
	 */
	void remove(int port) {
		this.down.add(port);
	}

	int port(ModelCall call) {
		return port(call.index());
	}

	private int port(int index) {
		List<Integer> up = new ArrayList<>(this.weights.keySet());
		up.removeAll(this.down);
		double total = up.stream().mapToDouble(this.weights::get).sum();
		double point = new SplittableRandom(this.seed ^ (index * 0x9E3779B97F4A7C15L)).nextDouble() * total;
		for (int port : up) {
			point -= this.weights.get(port);
			if (point < 0) {
				return port;
			}
		}
		return up.get(up.size() - 1);
	}

}
