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
 * Decides the commits of one shard: all waiting intents and outcomes go into the shard's
 * register with one compare-and-swap.
 * <p>
 * Several writers of one shard are safe. Each operation is identified by its dispatcher
 * and nonce, so it is judged again against whatever the register holds after a lost
 * compare-and-swap, a lost answer or a take-over. Not safe for use by several threads.
 */
public final class ShardWriter {

	private static final long REFRESH_NANOS = 1_000_000_000L;

	/**
	 * A write and the read that settles it must both fail before the store counts as out.
	 */
	private static final int FAILURES_OF_OUTAGE = 2;

	private static final int DELETE_EVERY_COMMITS = 8;

	private final int shard;

	private final ShardLimits limits;

	private final UniformRandomProvider random;

	private final Collection<OpenOperation> open = new ArrayDeque<>();

	private final ArchiveTable archives = new ArchiveTable();

	private final DoubtfulIntents doubtful = new DoubtfulIntents();

	private ShardImage committed;

	private long version;

	private boolean owner;

	private boolean current;

	private boolean stale;

	private boolean outage;

	private boolean refreshWanted;

	private boolean deleteDue;

	private int failures;

	private long commits;

	private long confirmedNanos;

	private long notBeforeNanos;

	private long nextWriteNanos;

	private long lastCallNanos;

	private Step step = Step.IDLE;

	private RecordArchive archiveInHand;

	private RecordArchive archiveStored;

	private OpenOperation checking;

	private Commit unsettled;

	private ShardWriter(int shard, ShardLimits limits, UniformRandomProvider random) {
		this.shard = shard;
		this.limits = Objects.requireNonNull(limits, "limits");
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Creates a writer that does not own its shard yet.
	 * @param shard the shard
	 * @param limits times and sizes
	 * @param random source of commit ids
	 * @return the writer
	 */
	public static ShardWriter create(int shard, ShardLimits limits, UniformRandomProvider random) {
		return new ShardWriter(shard, limits, random);
	}

	/**
	 * Takes the shard over and loads it.
	 * @param nowNanos the monotonic time
	 * @param epochMillis the wall clock
	 * @return what to do
	 */
	public List<RecordAction> acquire(long nowNanos, long epochMillis) {
		if (!this.owner) {
			this.owner = true;
			this.lastCallNanos = nowNanos;
			this.nextWriteNanos = nowNanos;
			this.notBeforeNanos = nowNanos;
		}
		return advance(nowNanos, epochMillis);
	}

	/**
	 * Gives the shard up. Waiting operations are sent to its next owner, which finds the
	 * intents that were written by their dispatcher and nonce.
	 * @return the answers
	 */
	public List<RecordAction> release() {
		this.owner = false;
		forget();
		this.unsettled = null;
		this.doubtful.clear();
		this.archives.clear();
		List<RecordAction> replies = new ArrayList<>();
		this.open
			.forEach((operation) -> replies.add(new RecordAction.Reply(operation.ticket(), RecordRules.notOwner())));
		this.open.clear();
		return replies;
	}

	private void forget() {
		this.committed = null;
		this.current = false;
		this.stale = this.step != Step.IDLE;
		this.archiveStored = null;
	}

	/**
	 * Receives an intent.
	 * @param ticket names the operation in its answer
	 * @param record the record to create
	 * @param remainingMillis time after which no answer is needed any more
	 * @param nowNanos the monotonic time
	 * @param epochMillis the wall clock
	 * @return what to do
	 */
	public List<RecordAction> intent(long ticket, CallRecord record, long remainingMillis, long nowNanos,
			long epochMillis) {
		return add(
				new OpenOperation(ticket, true, record, nowNanos + remainingMillis * 1_000_000,
						nowNanos + Math.min(remainingMillis * 1_000_000, this.limits.outcomeWaitNanos())),
				nowNanos, epochMillis);
	}

	/**
	 * Receives an outcome.
	 * @param ticket names the operation in its answer
	 * @param record the record in its new state
	 * @param remainingMillis time after which no answer is needed any more
	 * @param nowNanos the monotonic time
	 * @param epochMillis the wall clock
	 * @return what to do
	 */
	public List<RecordAction> outcome(long ticket, CallRecord record, long remainingMillis, long nowNanos,
			long epochMillis) {
		return add(new OpenOperation(ticket, false, record, nowNanos + remainingMillis * 1_000_000, nowNanos), nowNanos,
				epochMillis);
	}

	private List<RecordAction> add(OpenOperation operation, long nowNanos, long epochMillis) {
		if (!this.owner) {
			return List.of(new RecordAction.Reply(operation.ticket(), RecordRules.notOwner()));
		}
		if (this.open.size() >= this.limits.maxOperations()) {
			return List.of(new RecordAction.Reply(operation.ticket(),
					RecordRules.refused("too many calls wait for their records", true)));
		}
		if (!operation.intent()) {
			// The dispatcher has decided: its repeated requests must not create an
			// intent.
			this.open.stream()
				.filter((other) -> other.intent() && other.sameDispatcher(operation.record()))
				.forEach(OpenOperation::reject);
		}
		this.open.add(operation);
		return advance(nowNanos, epochMillis);
	}

	/**
	 * Lets time pass; called at least every few milliseconds.
	 * @param nowNanos the monotonic time
	 * @param epochMillis the wall clock
	 * @return what to do
	 */
	public List<RecordAction> tick(long nowNanos, long epochMillis) {
		return advance(nowNanos, epochMillis);
	}

	/**
	 * Tells whether operations wait or the store is being asked.
	 * @return true if there is work
	 */
	public boolean busy() {
		return !this.open.isEmpty() || this.step != Step.IDLE;
	}

	/**
	 * Tells whether the store does not answer.
	 * @return true during an outage
	 */
	public boolean outage() {
		return this.outage;
	}

	/**
	 * Receives the store's answer to the action in progress.
	 * @param answer the answer
	 * @param nowNanos the monotonic time
	 * @param epochMillis the wall clock
	 * @return what to do
	 */
	public List<RecordAction> answer(StoreAnswer answer, long nowNanos, long epochMillis) {
		Step answered = this.step;
		this.step = Step.IDLE;
		notePause(nowNanos, answered);
		if (!this.owner || this.stale) {
			// What was asked before a pause or a change of owner says nothing about now.
			this.stale = false;
			return advance(nowNanos, epochMillis);
		}
		if (answer instanceof StoreAnswer.Unavailable) {
			failed(nowNanos, answered);
			return advance(nowNanos, epochMillis);
		}
		this.failures = 0;
		this.outage = false;
		switch (answered) {
			case READ -> adopt(answer, nowNanos);
			case WRITE -> written(answer, nowNanos);
			case INDEX -> archiveRead(answer, nowNanos).ifPresent(this.archives::put);
			case CHECK -> archiveRead(answer, nowNanos).ifPresent(
					(archive) -> ArchiveTable.checked(this.checking, archive, keptSinceEpochMillis(epochMillis)));
			case CREATE -> archiveCreated(answer);
			case CONFIRM -> archiveConfirmed(answer);
			default -> this.archives.deleted();
		}
		if (answered == Step.CREATE && !(answer instanceof StoreAnswer.Written)) {
			return List.of(start(Step.CONFIRM, new RecordAction.ReadArchive(this.archiveInHand.getNumber())));
		}
		return advance(nowNanos, epochMillis);
	}

	private void archiveCreated(StoreAnswer answer) {
		if (answer instanceof StoreAnswer.Written) {
			this.archiveStored = this.archiveInHand;
		}
	}

	private void archiveConfirmed(StoreAnswer answer) {
		if (answer instanceof StoreAnswer.Found found) {
			this.archiveStored = found.parse(RecordArchive.parser());
		}
	}

	// A writer that was paused may have been replaced: it trusts nothing that it knew.
	private void notePause(long nowNanos, Step during) {
		if (nowNanos - this.lastCallNanos > this.limits.pauseLimitNanos() && this.owner) {
			forget();
			this.stale = during != Step.IDLE;
		}
		this.lastCallNanos = nowNanos;
	}

	private void failed(long nowNanos, Step answered) {
		this.failures++;
		this.current = false;
		if (answered == Step.CREATE) {
			this.archiveStored = null;
		}
		if (this.failures >= FAILURES_OF_OUTAGE) {
			this.outage = true;
			this.notBeforeNanos = nowNanos + this.limits.probePauseNanos();
		}
	}

	private void adopt(StoreAnswer answer, long nowNanos) {
		RecordShard found = (answer instanceof StoreAnswer.Found value) ? value.parse(RecordShard.parser())
				: RecordShard.getDefaultInstance();
		long foundVersion = (answer instanceof StoreAnswer.Found value) ? value.version() : 0;
		if (this.unsettled != null && this.unsettled.id().equals(found.getCommitId())) {
			took(this.unsettled, foundVersion, nowNanos);
			return;
		}
		seen(foundVersion, nowNanos);
		this.committed = ShardImage.of(found);
		this.archives.removeThrough(this.committed.trimmedThrough(), false);
		if (this.archiveStored != null && this.archiveStored.getNumber() != this.committed.archivedThrough() + 1) {
			this.archiveStored = null;
		}
	}

	private void seen(long foundVersion, long nowNanos) {
		if (foundVersion != this.version) {
			this.doubtful.clear();
		}
		this.version = foundVersion;
		this.open.forEach((operation) -> operation.seen(foundVersion));
		this.current = true;
		this.confirmedNanos = nowNanos;
	}

	private void written(StoreAnswer answer, long nowNanos) {
		if (answer instanceof StoreAnswer.Written done) {
			took(this.unsettled, done.version(), nowNanos);
			return;
		}
		this.current = false;
		if (answer instanceof StoreAnswer.Rejected) {
			this.unsettled.operations().forEach(OpenOperation::reject);
		}
	}

	private void took(Commit commit, long newVersion, long nowNanos) {
		this.commits++;
		this.deleteDue = this.commits % DELETE_EVERY_COMMITS == 0;
		this.unsettled = null;
		seen(newVersion, nowNanos);
		this.committed = commit.draft();
		if (commit.archive() != null) {
			this.archives.put(commit.archive());
			this.archiveStored = null;
		}
		this.archives.removeThrough(this.committed.trimmedThrough(), true);
	}

	private Optional<RecordArchive> archiveRead(StoreAnswer answer, long nowNanos) {
		if (answer instanceof StoreAnswer.Found found) {
			return Optional.of(found.parse(RecordArchive.parser()));
		}
		// Another writer trimmed the archive: the register has changed.
		this.current = false;
		this.notBeforeNanos = nowNanos + this.limits.commitPauseNanos();
		return Optional.empty();
	}

	private List<RecordAction> advance(long nowNanos, long epochMillis) {
		notePause(nowNanos, this.step);
		List<RecordAction> actions = new ArrayList<>();
		settleAll(nowNanos, epochMillis, actions);
		if (this.owner && this.step == Step.IDLE) {
			next(nowNanos, epochMillis, actions);
		}
		return actions;
	}

	private void settleAll(long nowNanos, long epochMillis, List<RecordAction> actions) {
		long keptSince = keptSinceEpochMillis(epochMillis);
		this.refreshWanted = false;
		Iterator<OpenOperation> iterator = this.open.iterator();
		while (iterator.hasNext()) {
			OpenOperation operation = iterator.next();
			Optional<IntentReply> reply = settle(operation, keptSince, nowNanos);
			if (reply.isPresent()) {
				iterator.remove();
				actions.add(new RecordAction.Reply(operation.ticket(), reply.get()));
			}
		}
	}

	private Optional<IntentReply> settle(OpenOperation operation, long keptSinceEpochMillis, long nowNanos) {
		CallRecord inRegister = (this.committed != null) ? this.committed.get(operation.record().getKeyHash()) : null;
		CallRecord present = ArchiveTable.live(inRegister, keptSinceEpochMillis) ? inRegister : operation.archived();
		boolean noWait = this.outage || operation.waitedEnough(nowNanos);
		Optional<IntentReply> reply = RecordRules.settle(operation, present, noWait);
		boolean writing = this.step == Step.WRITE && operation.maybeWritten();
		if (reply.isPresent() || writing) {
			return reply;
		}
		this.refreshWanted |= operation.intent() && present != null;
		if (operation.expired(nowNanos) || (this.outage && operation.intent())) {
			return Optional.of(giveUp(operation));
		}
		return Optional.empty();
	}

	private IntentReply giveUp(OpenOperation operation) {
		String reason = this.outage ? "the platform store does not answer" : "the record was not stored in time";
		boolean doubt = operation.maybeWritten() || this.doubtful.contains(operation.record());
		boolean otherRunPossible = this.committed == null || this.archives.missing(this.committed).isPresent()
				|| this.archives.toCheck(operation).isPresent() || this.doubtful.containsOther(operation.record());
		return (doubt || !operation.intent()) ? RecordRules.undecided(reason, otherRunPossible)
				: RecordRules.refused(reason, otherRunPossible);
	}

	private void next(long nowNanos, long epochMillis, List<RecordAction> actions) {
		boolean refresh = this.refreshWanted && nowNanos - this.confirmedNanos > REFRESH_NANOS;
		if (!this.current || refresh) {
			if (nowNanos - this.notBeforeNanos >= 0) {
				actions.add(start(Step.READ, new RecordAction.ReadRegister()));
			}
			return;
		}
		OptionalLong missing = this.archives.missing(this.committed);
		if (missing.isPresent()) {
			actions.add(start(Step.INDEX, new RecordAction.ReadArchive(missing.getAsLong())));
			return;
		}
		for (OpenOperation operation : this.open) {
			OptionalLong number = this.archives.toCheck(operation);
			if (number.isPresent() && operation.archived() == null
					&& this.committed.get(operation.record().getKeyHash()) == null) {
				this.checking = operation;
				actions.add(start(Step.CHECK, new RecordAction.ReadArchive(number.getAsLong())));
				return;
			}
		}
		if (nowNanos - this.nextWriteNanos >= 0) {
			write(nowNanos, epochMillis, actions);
		}
	}

	private void write(long nowNanos, long epochMillis, List<RecordAction> actions) {
		Long delete = this.archives.nextToDelete();
		RecordAction action = (delete != null && this.deleteDue) ? null : archiveWrite();
		if (action == null && !(delete != null && this.deleteDue)) {
			action = commit(epochMillis, actions);
		}
		if (action == null && delete != null) {
			this.deleteDue = false;
			action = start(Step.DELETE, new RecordAction.DeleteArchive(delete));
		}
		if (action == null) {
			return;
		}
		// Every kind of write uses the pause, so that the budget holds for their sum.
		this.nextWriteNanos = nowNanos + this.limits.commitPauseNanos();
		if (action instanceof RecordAction.WriteRegister) {
			this.unsettled.operations().forEach(this::sent);
		}
		actions.add(action);
	}

	private void sent(OpenOperation operation) {
		operation.sentOver(this.version);
		if (operation.intent()) {
			this.doubtful.add(operation.record());
		}
	}

	private RecordAction archiveWrite() {
		if (this.archiveStored != null || this.committed.bytes() < this.limits.archiveBytes()
				|| this.archives.size() >= this.limits.maxArchives()) {
			return null;
		}
		RecordArchive archive = this.committed.nextArchive(this.shard, this.limits.maxArchiveBytes());
		if (archive.getSerializedSize() < this.limits.archiveBytes() / 2) {
			return null;
		}
		this.archiveInHand = archive;
		return start(Step.CREATE, new RecordAction.CreateArchive(archive));
	}

	private RecordAction commit(long epochMillis, List<RecordAction> actions) {
		String id = Long.toHexString(this.random.nextLong()) + Long.toHexString(this.random.nextLong());
		List<OpenOperation> full = new ArrayList<>();
		Commit commit = Commit.plan(id, this.committed, this.open, this.archiveStored, this.limits, epochMillis,
				full::add);
		full.forEach((operation) -> actions.add(new RecordAction.Reply(operation.ticket(),
				RecordRules.refused("the records of the shard are full", false))));
		this.open.removeAll(full);
		ShardImage draft = commit.draft();
		if (!draft.changed()) {
			return null;
		}
		long expiredThrough = this.archives.expiredThrough(this.committed, keptSinceEpochMillis(epochMillis));
		if (expiredThrough > draft.trimmedThrough()) {
			draft.trimArchivesThrough(expiredThrough);
		}
		this.unsettled = commit;
		return start(Step.WRITE, new RecordAction.WriteRegister(draft.toShard(this.shard, id), this.version));
	}

	private RecordAction start(Step next, RecordAction action) {
		this.step = next;
		return action;
	}

	private long keptSinceEpochMillis(long epochMillis) {
		return epochMillis - this.limits.retentionMillis();
	}

}
