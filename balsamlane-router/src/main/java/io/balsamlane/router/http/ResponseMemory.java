package io.balsamlane.router.http;

/**
 * Limits the memory that incomplete responses of backend servers occupy in this process.
 * A small part of each response is always admitted, so that servers that send without end
 * do not affect the responses of others. Not thread-safe.
 */
public final class ResponseMemory {

	/** Part of a response that is admitted regardless of other responses, in bytes. */
	static final int GUARANTEED_BYTES = 16 << 10;

	private final long maxBytes;

	private long usedBytes;

	private ResponseMemory(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Create an account of the memory of all responses.
	 * @param maxBytes maximum total size of incomplete responses, in bytes
	 * @return the account
	 */
	public static ResponseMemory ofSize(long maxBytes) {
		return new ResponseMemory(maxBytes);
	}

	/**
	 * Reserve memory for further bytes of a response.
	 * @param heldBytes number of bytes already reserved for the response
	 * @param moreBytes number of bytes to add
	 * @return false if the response has to be aborted
	 */
	public boolean tryReserve(int heldBytes, int moreBytes) {
		if (heldBytes + moreBytes > GUARANTEED_BYTES && this.usedBytes + moreBytes > this.maxBytes) {
			return false;
		}
		this.usedBytes += moreBytes;
		return true;
	}

	/**
	 * Release the memory of a response that has ended.
	 * @param heldBytes number of bytes reserved for the response
	 */
	public void release(int heldBytes) {
		this.usedBytes -= heldBytes;
	}

	long usedBytes() {
		return this.usedBytes;
	}

}
