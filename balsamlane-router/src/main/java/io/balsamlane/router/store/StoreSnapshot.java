package io.balsamlane.router.store;

import java.util.List;

/**
 * A view of all keys with a prefix at one moment.
 *
 * @param items the keys with their values
 * @param ageMillis time since the store confirmed the view, in milliseconds
 */
public record StoreSnapshot(List<PrefixRead.Item> items, long ageMillis) {

	public StoreSnapshot {
		items = List.copyOf(items);
	}

}
