package io.balsamlane.core.records;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.RecordArchive;
import io.balsamlane.schema.RecordShard;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Group commit of the call records of one shard: all pending intents and outcomes are
 * written to the shard's register with one compare-and-swap.
 * <p>
 * Concurrent writers of one shard are safe. Each operation is identified by its
 * dispatcher and nonce, so it can be evaluated again against the contents of the register
 * after a failed compare-and-swap, a lost answer or a change of owner. Not thread-safe.
 */
public final class ShardWriter {

	private static final long REFRESH_INTERVAL_NANOS = 1_000_000_000L;

	/**
	 * Consecutive failures after which the store counts as unavailable: a write and the
	 * read that determines its result must both fail.
	 */
	private static final int OUTAGE_FAILURES = 2;

	private static final int COMMITS_PER_DELETION = 8;

	private final int shard;

	private final ShardLimits limits;

	private final UniformRandomProvider random;

	private final Collection<PendingOperation> pending = new ArrayDeque<>();

	private final ArchiveTable archives = new ArchiveTable();

	private final UnresolvedIntents unresolved = new UnresolvedIntents();

	private RegisterState committed;

	private long version;

	private boolean owner;

	private boolean upToDate;

	private boolean discardAnswer;

	private boolean outage;

	private boolean refreshNeeded;

	private boolean deleteDue;

	private int failures;

	private long commits;

	private long confirmedNanos;

	private long nextReadNanos;

	private long nextWriteNanos;

	private long lastCallNanos;

	private Step step = Step.IDLE;

	private RecordArchive pendingArchive;

	private RecordArchive storedArchive;

	private PendingOperation operationToSearch;

	private Commit pendingCommit;

	private ShardWriter(int shard, ShardLimits limits, UniformRandomProvider random) {
		this.shard = shard;
		this.limits = Objects.requireNonNull(limits, "limits");
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Create a writer that does not own its shard yet.
	 * @param shard the shard
	 * @param limits time and size limits
	 * @param random source of commit ids
	 * @return the writer
	 */
	public static ShardWriter create(int shard, ShardLimits limits, UniformRandomProvider random) {
		return new ShardWriter(shard, limits, random);
	}

	/**
	 * Acquire the shard and load its register.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @param epochMillis the wall clock time, in milliseconds
	 * @return the actions to perform
	 */
	public List<RecordAction> acquire(long nowNanos, long epochMillis) {
		if (!this.owner) {
			this.owner = true;
			this.lastCallNanos = nowNanos;
			this.nextWriteNanos = nowNanos;
			this.nextReadNanos = nowNanos;
		}
		return advance(nowNanos, epochMillis);
	}

	/**
	 * Release the shard and reply NOT_OWNER to all pending operations. Their dispatchers
	 * send them to the next owner, which recognizes the intents that have been written by
	 * their dispatcher and nonce.
	 * @return the replies
	 */
	public List<RecordAction> release() {
		this.owner = false;
		invalidate();
		this.pendingCommit = null;
		this.unresolved.clear();
		this.archives.clear();
		List<RecordAction> replies = new ArrayList<>();
		this.pending
			.forEach((operation) -> replies.add(new RecordAction.Reply(operation.ticket(), RecordRules.notOwner())));
		this.pending.clear();
		return replies;
	}

	private void invalidate() {
		this.committed = null;
		this.upToDate = false;
		this.discardAnswer = this.step != Step.IDLE;
		this.storedArchive = null;
	}

	/**
	 * Add an intent.
	 * @param ticket identifies the operation in its reply
	 * @param record the record to create
	 * @param remainingMillis time after which a reply is no longer needed, in
	 * milliseconds
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @param epochMillis the wall clock time, in milliseconds
	 * @return the actions to perform
	 */
	public List<RecordAction> intent(long ticket, CallRecord record, long remainingMillis, long nowNanos,
			long epochMillis) {
		return add(
				new PendingOperation(ticket, true, record, nowNanos + remainingMillis * 1_000_000,
						nowNanos + Math.min(remainingMillis * 1_000_000, this.limits.outcomeWaitNanos())),
				nowNanos, epochMillis);
	}

	/**
	 * Add an outcome.
	 * @param ticket identifies the operation in its reply
	 * @param record the record in its new state
	 * @param remainingMillis time after which a reply is no longer needed, in
	 * milliseconds
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @param epochMillis the wall clock time, in milliseconds
	 * @return the actions to perform
	 */
	public List<RecordAction> outcome(long ticket, CallRecord record, long remainingMillis, long nowNanos,
			long epochMillis) {
		return add(new PendingOperation(ticket, false, record, nowNanos + remainingMillis * 1_000_000, nowNanos),
				nowNanos, epochMillis);
	}

	private List<RecordAction> add(PendingOperation operation, long nowNanos, long epochMillis) {
		if (!this.owner) {
			return List.of(new RecordAction.Reply(operation.ticket(), RecordRules.notOwner()));
		}
		if (this.pending.size() >= this.limits.maxOperations()) {
			return List.of(new RecordAction.Reply(operation.ticket(),
					RecordRules.refused("too many calls wait for their records", true)));
		}
		if (!operation.intent()) {
			// The dispatcher has decided on this attempt, so its repeated requests must
			// not create an intent.
			this.pending.stream()
				.filter((other) -> other.intent() && other.sameDispatcher(operation.record()))
				.forEach(PendingOperation::reject);
		}
		this.pending.add(operation);
		return advance(nowNanos, epochMillis);
	}

	/**
	 * Process timeouts and start due requests. Must be called every few milliseconds.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @param epochMillis the wall clock time, in milliseconds
	 * @return the actions to perform
	 */
	public List<RecordAction> tick(long nowNanos, long epochMillis) {
		return advance(nowNanos, epochMillis);
	}

	/**
	 * Return whether operations are pending or a store request is in progress.
	 * @return true if the writer is busy
	 */
	public boolean busy() {
		return !this.pending.isEmpty() || this.step != Step.IDLE;
	}

	/**
	 * Return whether the store counts as unavailable.
	 * @return true during an outage
	 */
	public boolean outage() {
		return this.outage;
	}

	/**
	 * Process the store's answer to the action in progress.
	 * @param answer the answer
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @param epochMillis the wall clock time, in milliseconds
	 * @return the actions to perform
	 */
	public List<RecordAction> handleStoreAnswer(StoreAnswer answer, long nowNanos, long epochMillis) {
		Step answered = this.step;
		this.step = Step.IDLE;
		detectPause(nowNanos, answered);
		if (!this.owner || this.discardAnswer) {
			// The request was sent before a pause or a change of owner, so its answer may
			// be outdated.
			this.discardAnswer = false;
			return advance(nowNanos, epochMillis);
		}
		if (answer instanceof StoreAnswer.Unavailable) {
			recordFailure(nowNanos, answered);
			return advance(nowNanos, epochMillis);
		}
		this.failures = 0;
		this.outage = false;
		switch (answered) {
			case READ_REGISTER -> loadRegister(answer, nowNanos);
			case WRITE_REGISTER -> handleWriteAnswer(answer, nowNanos);
			case LOAD_ARCHIVE_INDEX -> parseArchive(answer, nowNanos).ifPresent(this.archives::put);
			case SEARCH_ARCHIVE -> parseArchive(answer, nowNanos).ifPresent((archive) -> ArchiveTable
				.search(this.operationToSearch, archive, keptSinceEpochMillis(epochMillis)));
			case CREATE_ARCHIVE -> handleArchiveCreated(answer);
			case CONFIRM_ARCHIVE -> handleArchiveConfirmed(answer);
			default -> this.archives.removeDeleted();
		}
		if (answered == Step.CREATE_ARCHIVE && !(answer instanceof StoreAnswer.Written)) {
			return List.of(start(Step.CONFIRM_ARCHIVE, new RecordAction.ReadArchive(this.pendingArchive.getNumber())));
		}
		return advance(nowNanos, epochMillis);
	}

	private void handleArchiveCreated(StoreAnswer answer) {
		if (answer instanceof StoreAnswer.Written) {
			this.storedArchive = this.pendingArchive;
		}
	}

	private void handleArchiveConfirmed(StoreAnswer answer) {
		if (answer instanceof StoreAnswer.Found found) {
			this.storedArchive = found.parse(RecordArchive.parser());
		}
	}

	// Detect a pause of this process. Another writer may have changed the register during
	// the pause, so all cached state is discarded.
	private void detectPause(long nowNanos, Step during) {
		if (nowNanos - this.lastCallNanos > this.limits.pauseThresholdNanos() && this.owner) {
			invalidate();
			this.discardAnswer = during != Step.IDLE;
		}
		this.lastCallNanos = nowNanos;
	}

	private void recordFailure(long nowNanos, Step answered) {
		this.failures++;
		this.upToDate = false;
		if (answered == Step.CREATE_ARCHIVE) {
			this.storedArchive = null;
		}
		if (this.failures >= OUTAGE_FAILURES) {
			this.outage = true;
			this.nextReadNanos = nowNanos + this.limits.outageRetryNanos();
		}
	}

	private void loadRegister(StoreAnswer answer, long nowNanos) {
		RecordShard found = (answer instanceof StoreAnswer.Found value) ? value.parse(RecordShard.parser())
				: RecordShard.getDefaultInstance();
		long foundVersion = (answer instanceof StoreAnswer.Found value) ? value.version() : 0;
		if (this.pendingCommit != null && this.pendingCommit.id().equals(found.getCommitId())) {
			applyCommit(this.pendingCommit, foundVersion, nowNanos);
			return;
		}
		recordVersion(foundVersion, nowNanos);
		this.committed = RegisterState.of(found);
		this.archives.removeThrough(this.committed.trimmedThrough(), false);
		if (this.storedArchive != null && this.storedArchive.getNumber() != this.committed.archivedThrough() + 1) {
			this.storedArchive = null;
		}
	}

	private void recordVersion(long foundVersion, long nowNanos) {
		if (foundVersion != this.version) {
			this.unresolved.clear();
		}
		this.version = foundVersion;
		this.pending.forEach((operation) -> operation.recordVersion(foundVersion));
		this.upToDate = true;
		this.confirmedNanos = nowNanos;
	}

	private void handleWriteAnswer(StoreAnswer answer, long nowNanos) {
		if (answer instanceof StoreAnswer.Written done) {
			applyCommit(this.pendingCommit, done.version(), nowNanos);
			return;
		}
		this.upToDate = false;
		if (answer instanceof StoreAnswer.Rejected) {
			this.pendingCommit.operations().forEach(PendingOperation::reject);
		}
	}

	private void applyCommit(Commit commit, long newVersion, long nowNanos) {
		this.commits++;
		this.deleteDue = this.commits % COMMITS_PER_DELETION == 0;
		this.pendingCommit = null;
		recordVersion(newVersion, nowNanos);
		this.committed = commit.draft();
		if (commit.archive() != null) {
			this.archives.put(commit.archive());
			this.storedArchive = null;
		}
		this.archives.removeThrough(this.committed.trimmedThrough(), true);
	}

	private Optional<RecordArchive> parseArchive(StoreAnswer answer, long nowNanos) {
		if (answer instanceof StoreAnswer.Found found) {
			return Optional.of(found.parse(RecordArchive.parser()));
		}
		// Another writer has trimmed the archive, so the register must be read again.
		this.upToDate = false;
		this.nextReadNanos = nowNanos + this.limits.commitPauseNanos();
		return Optional.empty();
	}

	private List<RecordAction> advance(long nowNanos, long epochMillis) {
		detectPause(nowNanos, this.step);
		List<RecordAction> actions = new ArrayList<>();
		replyToResolved(nowNanos, epochMillis, actions);
		if (this.owner && this.step == Step.IDLE) {
			startNextRequest(nowNanos, epochMillis, actions);
		}
		return actions;
	}

	private void replyToResolved(long nowNanos, long epochMillis, List<RecordAction> actions) {
		long keptSince = keptSinceEpochMillis(epochMillis);
		this.refreshNeeded = false;
		Iterator<PendingOperation> iterator = this.pending.iterator();
		while (iterator.hasNext()) {
			PendingOperation operation = iterator.next();
			Optional<IntentReply> reply = resolve(operation, keptSince, nowNanos);
			if (reply.isPresent()) {
				iterator.remove();
				actions.add(new RecordAction.Reply(operation.ticket(), reply.get()));
			}
		}
	}

	private Optional<IntentReply> resolve(PendingOperation operation, long keptSinceEpochMillis, long nowNanos) {
		CallRecord inRegister = (this.committed != null) ? this.committed.get(operation.record().getKeyHash()) : null;
		CallRecord present = ArchiveTable.retained(inRegister, keptSinceEpochMillis) ? inRegister
				: operation.archived();
		boolean waitExpired = this.outage || operation.waitExpired(nowNanos);
		Optional<IntentReply> reply = RecordRules.resolve(operation, present, waitExpired);
		boolean writing = this.step == Step.WRITE_REGISTER && operation.mayBeWritten();
		if (reply.isPresent() || writing) {
			return reply;
		}
		this.refreshNeeded |= operation.intent() && present != null;
		if (operation.expired(nowNanos) || (this.outage && operation.intent())) {
			return Optional.of(timeoutReply(operation));
		}
		return Optional.empty();
	}

	private IntentReply timeoutReply(PendingOperation operation) {
		String reason = this.outage ? "the platform store does not answer" : "the record was not stored in time";
		boolean unresolvedWrite = operation.mayBeWritten() || this.unresolved.contains(operation.record());
		boolean otherRunPossible = this.committed == null || this.archives.firstUnindexed(this.committed).isPresent()
				|| this.archives.nextCandidate(operation).isPresent()
				|| this.unresolved.containsOther(operation.record());
		return (unresolvedWrite || !operation.intent()) ? RecordRules.undecided(reason, otherRunPossible)
				: RecordRules.refused(reason, otherRunPossible);
	}

	private void startNextRequest(long nowNanos, long epochMillis, List<RecordAction> actions) {
		boolean refresh = this.refreshNeeded && nowNanos - this.confirmedNanos > REFRESH_INTERVAL_NANOS;
		if (!this.upToDate || refresh) {
			if (nowNanos - this.nextReadNanos >= 0) {
				actions.add(start(Step.READ_REGISTER, new RecordAction.ReadRegister()));
			}
			return;
		}
		OptionalLong unindexed = this.archives.firstUnindexed(this.committed);
		if (unindexed.isPresent()) {
			actions.add(start(Step.LOAD_ARCHIVE_INDEX, new RecordAction.ReadArchive(unindexed.getAsLong())));
			return;
		}
		for (PendingOperation operation : this.pending) {
			OptionalLong number = this.archives.nextCandidate(operation);
			if (number.isPresent() && operation.archived() == null
					&& this.committed.get(operation.record().getKeyHash()) == null) {
				this.operationToSearch = operation;
				actions.add(start(Step.SEARCH_ARCHIVE, new RecordAction.ReadArchive(number.getAsLong())));
				return;
			}
		}
		if (nowNanos - this.nextWriteNanos >= 0) {
			startWrite(nowNanos, epochMillis, actions);
		}
	}

	private void startWrite(long nowNanos, long epochMillis, List<RecordAction> actions) {
		Long delete = this.archives.nextToDelete();
		RecordAction action = (delete != null && this.deleteDue) ? null : startArchiveWrite();
		if (action == null && !(delete != null && this.deleteDue)) {
			action = startCommit(epochMillis, actions);
		}
		if (action == null && delete != null) {
			this.deleteDue = false;
			action = start(Step.DELETE_ARCHIVE, new RecordAction.DeleteArchive(delete));
		}
		if (action == null) {
			return;
		}
		// The pause applies to every kind of write, so that it limits the total write
		// rate.
		this.nextWriteNanos = nowNanos + this.limits.commitPauseNanos();
		if (action instanceof RecordAction.WriteRegister) {
			this.pendingCommit.operations().forEach(this::recordWrite);
		}
		actions.add(action);
	}

	private void recordWrite(PendingOperation operation) {
		operation.recordWrite(this.version);
		if (operation.intent()) {
			this.unresolved.add(operation.record());
		}
	}

	private RecordAction startArchiveWrite() {
		if (this.storedArchive != null || this.committed.bytes() < this.limits.archiveThresholdBytes()
				|| this.archives.size() >= this.limits.maxArchives()) {
			return null;
		}
		RecordArchive archive = this.committed.nextArchive(this.shard, this.limits.maxArchiveBytes());
		if (archive.getSerializedSize() < this.limits.archiveThresholdBytes() / 2) {
			return null;
		}
		this.pendingArchive = archive;
		return start(Step.CREATE_ARCHIVE, new RecordAction.CreateArchive(archive));
	}

	private RecordAction startCommit(long epochMillis, List<RecordAction> actions) {
		String id = Long.toHexString(this.random.nextLong()) + Long.toHexString(this.random.nextLong());
		List<PendingOperation> rejected = new ArrayList<>();
		Commit commit = Commit.plan(id, this.committed, this.pending, this.storedArchive, this.limits, epochMillis,
				rejected::add);
		rejected.forEach((operation) -> actions.add(new RecordAction.Reply(operation.ticket(),
				RecordRules.refused("the records of the shard are full", false))));
		this.pending.removeAll(rejected);
		RegisterState draft = commit.draft();
		if (!draft.changed()) {
			return null;
		}
		long expiredThrough = this.archives.expiredThrough(this.committed, keptSinceEpochMillis(epochMillis));
		if (expiredThrough > draft.trimmedThrough()) {
			draft.trimArchivesThrough(expiredThrough);
		}
		this.pendingCommit = commit;
		return start(Step.WRITE_REGISTER, new RecordAction.WriteRegister(draft.toShard(this.shard, id), this.version));
	}

	private RecordAction start(Step next, RecordAction action) {
		this.step = next;
		return action;
	}

	private long keptSinceEpochMillis(long epochMillis) {
		return epochMillis - this.limits.retentionMillis();
	}

}
