package io.balsamlane.core.records;

import io.balsamlane.schema.CallRecord;

/**
 * An intent or outcome that a shard writer has not answered yet.
 */
final class OpenOperation {

	private static final long NO_VERSION = -1;

	private final long ticket;

	private final boolean intent;

	private final CallRecord record;

	private final long deadlineNanos;

	private final long waitUntilNanos;

	private long writtenOverVersion = NO_VERSION;

	private long checkedArchivesThrough;

	private CallRecord archived;

	private boolean rejected;

	OpenOperation(long ticket, boolean intent, CallRecord record, long deadlineNanos, long waitUntilNanos) {
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

	boolean waitedEnough(long nowNanos) {
		return nowNanos - this.waitUntilNanos >= 0;
	}

	/**
	 * Notes that a write over a version holds this operation and may take effect.
	 * @param version the version that the write replaces
	 */
	void sentOver(long version) {
		this.writtenOverVersion = version;
	}

	/**
	 * Notes the present version: a write over an older one can no longer take effect.
	 * @param version the version
	 */
	void seen(long version) {
		if (version != this.writtenOverVersion) {
			this.writtenOverVersion = NO_VERSION;
		}
	}

	/** Notes that the store refuses the value that holds this operation. */
	void reject() {
		this.rejected = true;
	}

	boolean maybeWritten() {
		return this.writtenOverVersion != NO_VERSION;
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
