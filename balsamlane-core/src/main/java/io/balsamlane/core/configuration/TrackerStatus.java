package io.balsamlane.core.configuration;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.balsamlane.core.configuration.TrackerAction.AlarmKind;

/**
 * Immutable snapshot of the state of a {@link ConfigurationTracker} for use by other
 * threads. Times are monotonic, in nanoseconds.
 *
 * @param appliedRevision revision that was applied last, 0 if none
 * @param highestKnownRevision highest revision that was applied or announced by a peer
 * @param watcher whether the node watches the store
 * @param latestStoreContactNanos latest known contact of the node or one of its peers
 * with the store
 * @param peersExpected whether there are other routers
 * @param isolatedAfterNanos time after which the node counts as isolated unless another
 * event occurs first
 * @param contactConfirmed {@code false} after a process pause until the store or a peer
 * has responded to a new call
 * @param alarms message of each raised alarm
 */
public record TrackerStatus(long appliedRevision, long highestKnownRevision, boolean watcher,
		long latestStoreContactNanos, boolean peersExpected, long isolatedAfterNanos, boolean contactConfirmed,
		Map<AlarmKind, String> alarms) {

	public TrackerStatus {
		alarms = Map.copyOf(alarms);
	}

	/**
	 * Return whether the node may have lost contact with the store and all other nodes,
	 * so that it may lack an accepted change. The result depends on the current time, so
	 * that a process that resumes after a pause is isolated before it has handled any
	 * event.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return {@code true} if the node must refuse new work
	 */
	public boolean isolated(long nowNanos) {
		return this.peersExpected && (!this.contactConfirmed || nowNanos - this.isolatedAfterNanos > 0);
	}

	/**
	 * Return the time since the latest known contact of the node or one of its peers with
	 * the store.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the age in milliseconds
	 */
	public long storeAgeMillis(long nowNanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - this.latestStoreContactNanos));
	}

}
