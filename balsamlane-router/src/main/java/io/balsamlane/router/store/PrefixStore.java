package io.balsamlane.router.store;

import io.vertx.core.Future;

/**
 * Reads and watches of all keys that begin alike. Futures never fail; their results tell
 * what happened.
 */
public interface PrefixStore {

	/**
	 * Reads all keys with a prefix.
	 * @param prefix the prefix
	 * @return the outcome
	 */
	Future<PrefixRead> list(String prefix);

	/**
	 * Waits for changes of keys with a prefix.
	 * @param prefix the prefix
	 * @param afterRevision revision up to which changes are known
	 * @param waitMillis longest time to wait for a first change
	 * @return the outcome
	 */
	Future<PrefixRead> watch(String prefix, long afterRevision, long waitMillis);

}
