package io.balsamlane.router.store;

import io.vertx.core.Future;

/**
 * Access to the operations of the platform's key-value service that the router needs. The
 * futures never fail; their results describe the outcome.
 */
public interface PlatformStore {

	/**
	 * Read a key.
	 * @param key the key
	 * @return the outcome
	 */
	Future<StoreRead> get(String key);

	/**
	 * Write a key if its value has the expected version.
	 * @param key the key
	 * @param value the new value, at most 1 MB
	 * @param expectedVersion the version of the current value, 0 if the key must not
	 * exist
	 * @return the outcome
	 */
	Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion);

	/**
	 * Delete a key.
	 * @param key the key
	 * @return the outcome, {@link StoreWrite.Written} even if the key had no value
	 */
	Future<StoreWrite> delete(String key);

	/**
	 * Wait until the value of a key has a higher version.
	 * @param key the key
	 * @param afterVersion the version that is already known
	 * @return the outcome
	 */
	Future<StoreRead> watch(String key, long afterVersion);

}
