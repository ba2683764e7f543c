package io.balsamlane.router.store;

import io.vertx.core.Future;

/**
 * Access to the keys with a common prefix by reads and watches. The futures never fail;
 * their results describe the outcome.
 */
public interface PrefixStore {

	/**
	 * Read all keys with a prefix.
	 * @param prefix the prefix
	 * @return the outcome
	 */
	Future<PrefixRead> list(String prefix);

	/**
	 * Wait for changes of keys with a prefix.
	 * @param prefix the prefix
	 * @param afterRevision the revision up to which all changes are known
	 * @param waitMillis the maximum time to wait for a first change, in milliseconds
	 * @return the outcome
	 */
	Future<PrefixRead> watch(String prefix, long afterRevision, long waitMillis);

}
