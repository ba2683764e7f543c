package io.balsamlane.core.membership;

/**
 * Intervals, timeouts and size limits of the failure detector.
 *
 * @param probeMillis time between two probe rounds, in milliseconds
 * @param probeTimeoutMillis time to wait for a direct acknowledgement before other
 * members are asked to probe, in milliseconds
 * @param suspicionMillis time in which a suspected member may refute, in milliseconds
 * @param maxMembers maximum number of entries in the member table, including removed
 * members
 * @param datagramBytes maximum size of an encoded probe, in bytes
 * @param tombstoneMillis time for which a removed member is remembered, in milliseconds
 */
public record MembershipSettings(long probeMillis, long probeTimeoutMillis, long suspicionMillis, int maxMembers,
		int datagramBytes, long tombstoneMillis) {

	/**
	 * Maximum size of an encoded probe. With authentication and headers it stays below
	 * 1,280 bytes, the packet size that every IPv6 path carries unfragmented.
	 */
	private static final int DATAGRAM_BYTES = 1_170;

	private static final int MAX_MEMBERS = 2_048;

	private static final long TOMBSTONE_MILLIS = 600_000;

	public MembershipSettings {
		if (probeMillis < 1 || probeTimeoutMillis < 1 || suspicionMillis < 1 || maxMembers < 1 || datagramBytes < 512) {
			throw new IllegalArgumentException(
					"Membership intervals, timeouts and maxMembers must be at least 1, datagramBytes at least 512");
		}
	}

	/**
	 * Create settings with the default size limits and tombstone time.
	 * @param probeMillis time between two probe rounds, in milliseconds
	 * @param probeTimeoutMillis time to wait for a direct acknowledgement, in
	 * milliseconds
	 * @param suspicionMillis time in which a suspected member may refute, in milliseconds
	 * @return the settings
	 */
	public static MembershipSettings of(long probeMillis, long probeTimeoutMillis, long suspicionMillis) {
		return new MembershipSettings(probeMillis, probeTimeoutMillis, suspicionMillis, MAX_MEMBERS, DATAGRAM_BYTES,
				TOMBSTONE_MILLIS);
	}

}
