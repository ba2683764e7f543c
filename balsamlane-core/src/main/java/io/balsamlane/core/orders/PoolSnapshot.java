package io.balsamlane.core.orders;

import java.util.List;
import java.util.Objects;

import io.balsamlane.core.model.ServerName;

/**
 * Snapshot of a pool that receives orders, as known to this router.
 *
 * @param owned whether rendezvous hashing assigns the pool's orders to this router
 * @param target target state of the engines
 * @param engines names of the pool's engines that are not leaving
 * @param managedPools number of pools in the configuration that receive orders
 */
public record PoolSnapshot(boolean owned, PoolTarget target, List<ServerName> engines, int managedPools) {

	public PoolSnapshot {
		Objects.requireNonNull(target, "target");
		engines = engines.stream().sorted().toList();
	}

}
