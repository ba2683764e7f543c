package io.balsamlane.core.records;

import io.balsamlane.schema.CallRecord;

/**
 * An intent or outcome to which a shard writer has not replied yet.
 */
final class PendingOperation {

	private static final long NO_VERSION = -1;

	private final long ticket;

	private final boolean intent;

	private final CallRecord record;

	private final long deadlineNanos;

	private final long waitUntilNanos;

	private long writeBaseVersion = NO_VERSION;

	private long checkedArchivesThrough;

	private CallRecord archived;

	private boolean rejected;

	PendingOperation(long ticket, boolean intent, CallRecord record, long deadlineNanos, long waitUntilNanos) {
		this.ticket = ticket;
		this.intent = intent;
		this.record = record;
		this.deadlineNanos = deadlineNanos;
		this.waitUntilNanos = waitUntilNanos;
	}

	long ticket() {
		return this.ticket;
	}

	boolean intent() {
		return this.intent;
	}

	CallRecord record() {
		return this.record;
	}

	boolean expired(long nowNanos) {
		return this.rejected || nowNanos - this.deadlineNanos >= 0;
	}

	boolean waitExpired(long nowNanos) {
		return nowNanos - this.waitUntilNanos >= 0;
	}

	/**
	 * Record that a write which contains this operation has been sent and may take
	 * effect.
	 * @param version the register version that the write replaces
	 */
	void recordWrite(long version) {
		this.writeBaseVersion = version;
	}

	/**
	 * Record the current version of the register. A write over an older version can no
	 * longer take effect.
	 * @param version the version
	 */
	void recordVersion(long version) {
		if (version != this.writeBaseVersion) {
			this.writeBaseVersion = NO_VERSION;
		}
	}

	/**
	 * Reject this operation, because the store refused the value that contains it or
	 * because its dispatcher has already decided. A rejected operation counts as expired.
	 */
	void reject() {
		this.rejected = true;
	}

	boolean mayBeWritten() {
		return this.writeBaseVersion != NO_VERSION;
	}

	long checkedArchivesThrough() {
		return this.checkedArchivesThrough;
	}

	void checkedArchivesThrough(long number) {
		this.checkedArchivesThrough = number;
	}

	CallRecord archived() {
		return this.archived;
	}

	void archived(CallRecord record) {
		this.archived = record;
	}

	boolean sameDispatcher(CallRecord other) {
		return other.getDispatcherHost().equals(this.record.getDispatcherHost())
				&& other.getDispatcherIncarnation() == this.record.getDispatcherIncarnation()
				&& other.getDispatchNonce() == this.record.getDispatchNonce();
	}

}
