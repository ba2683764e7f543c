package io.balsamlane.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bytes that each caller has sent to other regions in the present hour, bounded in the
 * number of callers. A fixed window suffices because these paths are billed by volume.
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
	 * Creates counters at zero.
	 * @param maxCallers most callers that are counted; further ones may send nothing
	 * @param nowNanos present time
	 * @return the counters
	 */
	public static CrossRegionBytes create(int maxCallers, long nowNanos) {
		return new CrossRegionBytes(maxCallers, nowNanos);
	}

	/**
	 * Tells whether a caller may send bytes.
	 * @param caller name of the caller
	 * @param bytes the bytes
	 * @param limitBytes this router's share of the caller's limit per hour, 0 for none
	 * @param nowNanos present time
	 * @return true if the bytes fit
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
	 * Counts bytes.
	 * @param caller name of the caller
	 * @param bytes the bytes
	 */
	public synchronized void count(String caller, long bytes) {
		this.totalBytes += bytes;
		if (this.used.containsKey(caller) || this.used.size() < this.maxCallers) {
			this.used.merge(caller, bytes, Long::sum);
		}
	}

	/**
	 * Returns the bytes of all callers since the start.
	 * @return the bytes
	 */
	public synchronized long totalBytes() {
		return this.totalBytes;
	}

}
