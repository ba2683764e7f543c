package io.balsamlane.router.store;

import io.vertx.core.Future;

/**
 * Access to the platform's key-value service with leases. A key that was written under a
 * lease is removed when the lease ends. The futures never fail; their results describe
 * the outcome.
 */
public interface LeaseStore extends PlatformStore {

	/**
	 * Request a lease.
	 * @param leaseMillis the time to live of the lease, in milliseconds
	 * @return the outcome
	 */
	Future<StoreLease> grantLease(long leaseMillis);

	/**
	 * Renew a lease for its full time to live.
	 * @param lease the lease
	 * @return the outcome
	 */
	Future<StoreLease> renewLease(long lease);

	/**
	 * Revoke a lease and remove the keys that were written under it.
	 * @param lease the lease
	 * @return the outcome
	 */
	Future<StoreLease> revokeLease(long lease);

	/**
	 * Write a key under a lease if its value has the expected version.
	 * @param key the key
	 * @param value the new value, at most 1 MB
	 * @param expectedVersion the version of the current value, 0 if the key must not
	 * exist
	 * @param lease the lease
	 * @return the outcome, {@link StoreWrite.LeaseGone} if the lease has ended
	 */
	Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion, long lease);

}
