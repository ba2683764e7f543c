package io.balsamlane.router.http;

import io.balsamlane.core.memory.MemoryBudget;

/**
 * Limits the memory that incomplete responses of backend servers occupy in this process.
 * A small part of each response is always admitted, so that servers that send without end
 * do not affect the responses of others. Not thread-safe.
 */
public final class ResponseMemory {

	/** Part of a response that is admitted regardless of other responses, in bytes. */
	static final int GUARANTEED_BYTES = 16 << 10;

	/** The buffer of a response doubles as it grows, so part of it may be unused. */
	private static final int BUFFER_GROWTH = 2;

	private final long maxBytes;

	private final MemoryBudget.Account account;

	private long usedBytes;

	private ResponseMemory(long maxBytes, MemoryBudget.Account account) {
		this.maxBytes = maxBytes;
		this.account = account;
	}

	/**
	 * Create an account of the memory of all responses.
	 * @param maxBytes maximum total size of incomplete responses, in bytes
	 * @return the account
	 */
	public static ResponseMemory ofSize(long maxBytes) {
		return new ResponseMemory(maxBytes, MemoryBudget.ofSize(Long.MAX_VALUE).open());
	}

	/**
	 * Create an account of the memory of all responses that is part of the budget of the
	 * process.
	 * @param maxBytes maximum total size of incomplete responses, in bytes
	 * @param budget the budget of the process
	 * @return the account
	 */
	public static ResponseMemory ofSize(long maxBytes, MemoryBudget budget) {
		return new ResponseMemory(maxBytes, budget.open());
	}

	/**
	 * Reserve memory for further bytes of a response.
	 * @param heldBytes number of bytes already reserved for the response
	 * @param moreBytes number of bytes to add
	 * @return false if the response has to be aborted
	 */
	public boolean tryReserve(int heldBytes, int moreBytes) {
		boolean guaranteed = heldBytes + moreBytes <= GUARANTEED_BYTES;
		if ((!guaranteed && this.usedBytes + moreBytes > this.maxBytes)
				|| !this.account.tryReserve(BUFFER_GROWTH * (long) moreBytes, guaranteed)) {
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
		this.account.release(BUFFER_GROWTH * (long) heldBytes);
	}

	long usedBytes() {
		return this.usedBytes;
	}

}
