package io.balsamlane.core.configuration;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.balsamlane.core.configuration.TrackerAction.AlarmKind;

/**
 * State of a {@link ConfigurationTracker} between two events, for use by other threads.
 *
 * @param appliedRevision revision that was applied last, 0 if none was
 * @param highestKnown highest revision that was applied or heard of
 * @param watcher whether the node watches the store
 * @param freshestStoreNanos when the store was last heard by the node or one of its peers
 * @param peersExpected whether there are other routers
 * @param isolatedAfterNanos time after which the node is isolated unless another event
 * comes first
 * @param confirmed false after a pause until the store or a peer has answered a new call
 * @param alarms message of each raised alarm
 */
public record TrackerStatus(long appliedRevision, long highestKnown, boolean watcher, long freshestStoreNanos,
		boolean peersExpected, long isolatedAfterNanos, boolean confirmed, Map<AlarmKind, String> alarms) {

	public TrackerStatus {
		alarms = Map.copyOf(alarms);
	}

	/**
	 * Tells whether the node may be cut off from all others, so that it may lack an
	 * accepted change. It is a function of the time: a process that resumes after a pause
	 * is isolated before it has handled any event.
	 * @param nowNanos the present time
	 * @return true if it must refuse new work
	 */
	public boolean isolated(long nowNanos) {
		return this.peersExpected && (!this.confirmed || nowNanos - this.isolatedAfterNanos > 0);
	}

	/**
	 * Returns the time since the node, or a peer that it heard of, heard from the store.
	 * @param nowNanos the present time
	 * @return the age in milliseconds
	 */
	public long storeAgeMillis(long nowNanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - this.freshestStoreNanos));
	}

}
