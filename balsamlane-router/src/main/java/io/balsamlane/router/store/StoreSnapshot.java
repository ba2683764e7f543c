package io.balsamlane.router.store;

import java.util.List;

/**
 * Snapshot of all keys with a prefix.
 *
 * @param items the keys with their values
 * @param ageMillis the time since the store confirmed the snapshot, in milliseconds
 */
public record StoreSnapshot(List<PrefixRead.Item> items, long ageMillis) {

	public StoreSnapshot {
		items = List.copyOf(items);
	}

}
