package io.balsamlane.core.memory;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Accounts for the memory that requests and responses occupy in this process. Each
 * request head, body or unread response has an account, and reserves its bytes before it
 * is buffered.
 * <p>
 * The first {@value #SMALL_BYTES} bytes of an account are small; they may use the whole
 * budget. The remaining bytes are large; a quarter of the budget is closed to them, so
 * that ordinary requests are still admitted while large ones exhaust the rest. If the
 * budget does not suffice, data that is still arriving yields: the account that is least
 * advanced, in quarters of the expected size, and among these the newest. Only accounts
 * with large bytes yield, and none after {@link Account#settle()}. Not thread-safe.
 */
public final class MemoryBudget {

	/** Size up to which an account may use the whole budget, in bytes. */
	public static final int SMALL_BYTES = 16 << 10;

	private static final int PROGRESS_STEPS = 4;

	private static final Comparator<Account> LEAST_ADVANCED_THEN_NEWEST = Comparator
		.comparingLong(Account::progressSteps)
		.thenComparing(Comparator.comparingLong((Account account) -> account.number).reversed());

	private final long maxBytes;

	private final long maxLargeBytes;

	private final long maxSourceBytes;

	private final Set<Account> arriving = new LinkedHashSet<>();

	private final Map<String, Long> bytesBySource = new HashMap<>();

	private long usedBytes;

	private long nextNumber;

	private MemoryBudget(long maxBytes) {
		this.maxBytes = maxBytes;
		this.maxLargeBytes = maxBytes - maxBytes / 4;
		this.maxSourceBytes = this.maxLargeBytes - maxBytes / 8;
	}

	/**
	 * Create a budget.
	 * @param maxBytes total number of bytes that may be reserved
	 * @return the budget
	 */
	public static MemoryBudget ofSize(long maxBytes) {
		return new MemoryBudget(maxBytes);
	}

	/**
	 * Open an account for data that must not be dropped, such as responses.
	 * @return the account
	 */
	public Account open() {
		return new Account(this.nextNumber++, "", 0, () -> {
		});
	}

	/**
	 * Open an account for data that is arriving from a caller and may have to yield.
	 * @param source address of the caller
	 * @param expectedBytes expected size of the data, in bytes
	 * @param yield drops the data and closes the account
	 * @return the account
	 */
	public Account openArriving(String source, long expectedBytes, Runnable yield) {
		Account account = new Account(this.nextNumber++, source, Math.max(1, expectedBytes), yield);
		this.arriving.add(account);
		return account;
	}

	/**
	 * Return the number of bytes that are reserved.
	 * @return the number of bytes
	 */
	public long usedBytes() {
		return this.usedBytes;
	}

	/**
	 * Return the total number of bytes that may be reserved.
	 * @return the number of bytes
	 */
	public long maxBytes() {
		return this.maxBytes;
	}

	private boolean makeRoom(Account account, long bytes, long limit) {
		// Small data has precedence over large data that is arriving.
		boolean mayYieldItself = account.heldBytes + bytes > SMALL_BYTES;
		while (this.usedBytes + bytes > limit) {
			Optional<Account> yielding = this.arriving.stream()
				.filter((candidate) -> (candidate != account) ? candidate.heldBytes > SMALL_BYTES : mayYieldItself)
				.min(LEAST_ADVANCED_THEN_NEWEST);
			if (yielding.isEmpty() || yielding.get() == account) {
				return false;
			}
			yielding.get().yieldMemory();
		}
		return true;
	}

	/**
	 * Memory that is reserved for one head, body or response.
	 */
	public final class Account {

		private final long number;

		private final String source;

		private final long expectedBytes;

		private final Runnable yield;

		private long heldBytes;

		private boolean closed;

		private Account(long number, String source, long expectedBytes, Runnable yield) {
			this.number = number;
			this.source = source;
			this.expectedBytes = expectedBytes;
			this.yield = yield;
		}

		/**
		 * Reserve further bytes. Other data may have to yield.
		 * @param bytes number of bytes
		 * @return false if there is no room, or if this account is closed
		 */
		public boolean tryReserve(long bytes) {
			return tryReserve(bytes, this.heldBytes + bytes <= SMALL_BYTES);
		}

		/**
		 * Reserve further bytes of an account that several responses share.
		 * @param bytes number of bytes
		 * @param small whether the bytes belong to the small part of a response
		 * @return false if there is no room, or if this account is closed
		 */
		public boolean tryReserve(long bytes, boolean small) {
			if (this.closed || (!small && isBeyondSourceLimit(bytes))
					|| !makeRoom(this, bytes, small ? MemoryBudget.this.maxBytes : MemoryBudget.this.maxLargeBytes)) {
				return false;
			}
			add(bytes);
			return true;
		}

		// A source without other data may always use the part that is open to large data.
		private boolean isBeyondSourceLimit(long bytes) {
			long sourceBytes = MemoryBudget.this.bytesBySource.getOrDefault(this.source, 0L);
			return !this.source.isEmpty() && sourceBytes > this.heldBytes
					&& sourceBytes + bytes > MemoryBudget.this.maxSourceBytes;
		}

		private void add(long bytes) {
			this.heldBytes += bytes;
			MemoryBudget.this.usedBytes += bytes;
			if (!this.source.isEmpty()) {
				MemoryBudget.this.bytesBySource.merge(this.source, bytes,
						(first, second) -> (first + second != 0) ? first + second : null);
			}
		}

		/**
		 * Give back bytes.
		 * @param bytes number of bytes, at most as many as are reserved
		 */
		public void release(long bytes) {
			if (!this.closed) {
				add(-bytes);
			}
		}

		/**
		 * Record that the data is complete and in use, so that it does not yield.
		 */
		public void settle() {
			MemoryBudget.this.arriving.remove(this);
		}

		/**
		 * Give back all bytes. Closing a closed account has no effect.
		 */
		public void close() {
			if (!this.closed) {
				settle();
				add(-this.heldBytes);
				this.closed = true;
			}
		}

		/**
		 * Return the number of bytes that are reserved.
		 * @return the number of bytes
		 */
		public long heldBytes() {
			return this.heldBytes;
		}

		private long progressSteps() {
			return Math.min(PROGRESS_STEPS - 1, this.heldBytes * PROGRESS_STEPS / this.expectedBytes);
		}

		private void yieldMemory() {
			this.yield.run();
			close();
		}

	}

}
