package io.balsamlane.router.store;

import io.vertx.core.Future;

/**
 * The platform's key-value service, as far as the router needs it. Futures never fail;
 * their results tell what happened.
 */
public interface PlatformStore {

	/**
	 * Reads a key.
	 * @param key the key
	 * @return the outcome
	 */
	Future<StoreRead> get(String key);

	/**
	 * Writes a key if its value has the expected version.
	 * @param key the key
	 * @param value the new value, at most 1 MB
	 * @param expectedVersion version of the present value; 0 if the key must be absent
	 * @return the outcome
	 */
	Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion);

	/**
	 * Deletes a key.
	 * @param key the key
	 * @return the outcome; written also if the key had no value
	 */
	Future<StoreWrite> delete(String key);

	/**
	 * Waits until a key has a value of a higher version.
	 * @param key the key
	 * @param afterVersion version that is known already
	 * @return the outcome
	 */
	Future<StoreRead> watch(String key, long afterVersion);

}
