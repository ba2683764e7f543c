package io.balsamlane.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counters of the bytes that each caller has sent to other regions in the current hour,
 * for a bounded number of callers. A fixed window suffices because these paths are billed
 * by volume.
 */
public final class CrossRegionBytes {

	private static final long WINDOW_NANOS = 3_600_000_000_000L;

	private final Map<String, Long> used = new LinkedHashMap<>();

	private final int maxCallers;

	private long windowNanos;

	private long totalBytes;

	private CrossRegionBytes(int maxCallers, long nowNanos) {
		this.maxCallers = maxCallers;
		this.windowNanos = nowNanos;
	}

	/**
	 * Create counters that start at zero.
	 * @param maxCallers maximum number of callers counted; further callers may not send
	 * @param nowNanos current time
	 * @return the counters
	 */
	public static CrossRegionBytes create(int maxCallers, long nowNanos) {
		return new CrossRegionBytes(maxCallers, nowNanos);
	}

	/**
	 * Return whether a caller may send the given number of bytes.
	 * @param caller name of the caller
	 * @param bytes number of bytes to send
	 * @param limitBytes this router's share of the hourly limit of the caller in bytes, 0
	 * for no limit
	 * @param nowNanos current time
	 * @return true if the bytes are within the limit
	 */
	public synchronized boolean allows(String caller, long bytes, long limitBytes, long nowNanos) {
		if (nowNanos - this.windowNanos >= WINDOW_NANOS) {
			this.windowNanos = nowNanos;
			this.used.clear();
		}
		if (!this.used.containsKey(caller) && this.used.size() >= this.maxCallers) {
			return false;
		}
		return limitBytes == 0 || this.used.getOrDefault(caller, 0L) + bytes <= limitBytes;
	}

	/**
	 * Add bytes sent by a caller to the counters.
	 * @param caller name of the caller
	 * @param bytes number of bytes sent
	 */
	public synchronized void count(String caller, long bytes) {
		this.totalBytes += bytes;
		if (this.used.containsKey(caller) || this.used.size() < this.maxCallers) {
			this.used.merge(caller, bytes, Long::sum);
		}
	}

	/**
	 * Return the bytes sent by all callers since these counters were created.
	 * @return the total number of bytes
	 */
	public synchronized long totalBytes() {
		return this.totalBytes;
	}

}
