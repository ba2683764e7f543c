package io.balsamlane.core.orders;

import java.util.List;
import java.util.Objects;

import io.balsamlane.core.model.ServerName;

/**
 * What this router knows about a pool that receives orders.
 *
 * @param owned whether this router owns the pool's orders by rendezvous hashing
 * @param target the state that the engines shall have
 * @param engines the pool's engines that are not leaving
 * @param managedPools number of pools of the configuration that receive orders
 */
public record PoolSituation(boolean owned, PoolTarget target, List<ServerName> engines, int managedPools) {

	public PoolSituation {
		Objects.requireNonNull(target, "target");
		engines = engines.stream().sorted().toList();
	}

}
