package io.balsamlane.core.membership;

/**
 * Times and bounds of the failure detector.
 *
 * @param probeMillis time between two probe rounds, in milliseconds
 * @param probeTimeoutMillis wait for a direct answer before others are asked, in
 * milliseconds
 * @param suspicionMillis time in which a suspected member may refute, in milliseconds
 * @param maxMembers most entries of the member table, removed members included
 * @param datagramBytes largest size of an encoded probe
 * @param tombstoneMillis time for which a removed member is remembered, in milliseconds
 */
public record MembershipSettings(long probeMillis, long probeTimeoutMillis, long suspicionMillis, int maxMembers,
		int datagramBytes, long tombstoneMillis) {

	/**
	 * Largest encoded probe; with authentication and headers it stays under 1,280 bytes,
	 * the packet size that every IPv6 path carries unfragmented.
	 */
	private static final int DATAGRAM_BYTES = 1_170;

	private static final int MAX_MEMBERS = 2_048;

	private static final long TOMBSTONE_MILLIS = 600_000;

	public MembershipSettings {
		if (probeMillis < 1 || probeTimeoutMillis < 1 || suspicionMillis < 1 || maxMembers < 1 || datagramBytes < 512) {
			throw new IllegalArgumentException("Times and bounds of the membership must be positive");
		}
	}

	/**
	 * Creates settings with the default bounds.
	 * @param probeMillis time between two probe rounds, in milliseconds
	 * @param probeTimeoutMillis wait for a direct answer, in milliseconds
	 * @param suspicionMillis time in which a suspected member may refute, in milliseconds
	 * @return the settings
	 */
	public static MembershipSettings of(long probeMillis, long probeTimeoutMillis, long suspicionMillis) {
		return new MembershipSettings(probeMillis, probeTimeoutMillis, suspicionMillis, MAX_MEMBERS, DATAGRAM_BYTES,
				TOMBSTONE_MILLIS);
	}

}
