package io.balsamlane.router.store;

import io.vertx.core.Future;

/**
 * Leases of the platform's key-value service. A key that was written under a lease is
 * removed when the lease ends. Futures never fail; their results tell what happened.
 */
public interface LeaseStore extends PlatformStore {

	/**
	 * Asks for a lease.
	 * @param leaseMillis life of the lease, in milliseconds
	 * @return the outcome
	 */
	Future<StoreLease> grantLease(long leaseMillis);

	/**
	 * Lets a lease live for its full time again.
	 * @param lease the lease
	 * @return the outcome
	 */
	Future<StoreLease> renewLease(long lease);

	/**
	 * Ends a lease and removes the keys that were written under it.
	 * @param lease the lease
	 * @return the outcome
	 */
	Future<StoreLease> revokeLease(long lease);

	/**
	 * Writes a key under a lease if its value has the expected version.
	 * @param key the key
	 * @param value the new value, at most 1 MB
	 * @param expectedVersion version of the present value; 0 if the key must be absent
	 * @param lease the lease
	 * @return the outcome; {@link StoreWrite.LeaseGone} if the lease has ended
	 */
	Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion, long lease);

}
