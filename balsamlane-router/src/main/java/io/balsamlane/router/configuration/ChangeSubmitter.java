package io.balsamlane.router.configuration;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.balsamlane.core.configuration.ConfigurationEditor;
import io.balsamlane.core.configuration.EditResult;
import io.balsamlane.router.store.PlatformStore;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.router.store.StoreWrite;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * Submits changes by compare-and-swap and settles lost answers by reading back.
 * <p>
 * A write whose answer is lost may take effect at any later time. It can do so only while
 * the stored version is the one that it expects: if the next attempt reads that version,
 * both writes contain the same change and one of them fails; if it reads a later version,
 * the change is either in its history or can never take effect.
 */
final class ChangeSubmitter {

	private static final int MAX_ATTEMPTS = 8;

	/** First pause between attempts; doubles so that a race of several writers ends. */
	private static final long PAUSE_MILLIS = 10;

	/** Shorter than the wait of the operators' tool for an answer. */
	private static final long LIMIT_MILLIS = 6000;

	private final Vertx vertx;

	private final PlatformStore store;

	private final LongSupplier highestKnown;

	private final Consumer<Configuration> accepted;

	private ChangeSubmitter(Vertx vertx, PlatformStore store, LongSupplier highestKnown,
			Consumer<Configuration> accepted) {
		this.vertx = vertx;
		this.store = store;
		this.highestKnown = highestKnown;
		this.accepted = accepted;
	}

	/**
	 * Creates a submitter.
	 * @param vertx timers and worker threads
	 * @param store the platform store
	 * @param highestKnown highest revision that this node knows of
	 * @param accepted receives each configuration that was stored
	 * @return the submitter
	 */
	static ChangeSubmitter create(Vertx vertx, PlatformStore store, LongSupplier highestKnown,
			Consumer<Configuration> accepted) {
		return new ChangeSubmitter(vertx, store, highestKnown, accepted);
	}

	Future<SubmitResult> submit(Change change) {
		return attempt(new Attempt(change, null, 1, false, System.nanoTime()));
	}

	Future<SubmitResult> restore(Configuration applied, Change change) {
		return attempt(new Attempt(change, applied, 1, false, System.nanoTime()));
	}

	private Future<SubmitResult> attempt(Attempt attempt) {
		return this.store.get(ConfigurationKeeper.KEY).compose((read) -> {
			if (read instanceof StoreRead.Unavailable unavailable) {
				// Without an earlier write in flight nothing was stored; with one, only a
				// later read can tell.
				return attempt.undecided() ? again(attempt, true, unavailable.message())
						: Future.succeededFuture(new SubmitResult.StoreUnavailable(unavailable.message()));
			}
			return this.vertx.executeBlocking(() -> edit(read, attempt)).compose((step) -> perform(step, attempt));
		});
	}

	private Step edit(StoreRead read, Attempt attempt) {
		byte[] value = (read instanceof StoreRead.Found found) ? found.value() : new byte[0];
		long version = (read instanceof StoreRead.Found found) ? found.version() : 0;
		Configuration stored;
		try {
			stored = Configuration.parseFrom(value);
		}
		catch (InvalidProtocolBufferException ex) {
			if (attempt.restored() == null) {
				return Step.result(new SubmitResult.StoreRegressed(
						"the stored configuration cannot be parsed; submit a restore first"));
			}
			stored = Configuration.getDefaultInstance();
		}
		if (attempt.restored() != null) {
			return restore(stored, version, attempt);
		}
		long known = this.highestKnown.getAsLong();
		if (stored.getRevision() < known) {
			// A change of the old document would revert what is in force.
			return Step.retry(new SubmitResult.StoreRegressed("the store holds revision " + stored.getRevision()
					+ " but revision " + known + " was accepted; submit a restore first"));
		}
		EditResult result = ConfigurationEditor.apply(stored, attempt.change(), System.currentTimeMillis());
		if (result instanceof EditResult.Edited edited) {
			return Step.write(edited.configuration(), version);
		}
		if (result instanceof EditResult.AlreadyAccepted already) {
			return Step.accepted(stored, already.revision());
		}
		return Step.result(new SubmitResult.Refused(result));
	}

	private Step restore(Configuration stored, long version, Attempt attempt) {
		Configuration restored = attempt.restored();
		boolean done = stored.getChangesList()
			.stream()
			.anyMatch((change) -> change.getChangeId().equals(attempt.change().getChangeId()));
		if (done) {
			return Step.accepted(stored, stored.getRevision());
		}
		long known = this.highestKnown.getAsLong();
		if (restored.getRevision() == 0 || restored.getRevision() < known
				|| stored.getRevision() >= restored.getRevision()) {
			return Step.result(new SubmitResult.Refused(new EditResult.Invalid("A restore needs a node with the highest"
					+ " revision and a store with a lower one; this node has " + restored.getRevision()
					+ ", the highest known is " + known + ", the store has " + stored.getRevision())));
		}
		return Step.write(ConfigurationEditor.restore(restored, attempt.change(), stored.getRevision(),
				System.currentTimeMillis()), version);
	}

	private Future<SubmitResult> perform(Step step, Attempt attempt) {
		if (step.next() != null) {
			return write(step, attempt);
		}
		if (step.acceptedDocument() != null) {
			this.accepted.accept(step.acceptedDocument());
		}
		if (step.retry()) {
			return (attempt.undecided() || attempt.number() < MAX_ATTEMPTS / 2)
					? again(attempt, attempt.undecided(), step.result().toString())
					: Future.succeededFuture(step.result());
		}
		return Future.succeededFuture(step.result());
	}

	private Future<SubmitResult> write(Step step, Attempt attempt) {
		Configuration next = step.next();
		return this.vertx.executeBlocking(next::toByteArray)
			.compose((bytes) -> this.store.compareAndSet(ConfigurationKeeper.KEY, bytes, step.version()))
			.compose((write) -> {
				if (write instanceof StoreWrite.Written) {
					this.accepted.accept(next);
					return Future.succeededFuture(new SubmitResult.Stored(next.getRevision()));
				}
				if (write instanceof StoreWrite.Rejected rejected) {
					return attempt.undecided() ? again(attempt, true, rejected.message())
							: Future.succeededFuture(new SubmitResult.StoreUnavailable(rejected.message()));
				}
				boolean undecided = write instanceof StoreWrite.Undecided;
				return again(attempt, attempt.undecided() || undecided, write.toString());
			});
	}

	private Future<SubmitResult> again(Attempt attempt, boolean undecided, String cause) {
		long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - attempt.beganNanos());
		if (attempt.number() >= MAX_ATTEMPTS || elapsedMillis > LIMIT_MILLIS) {
			return Future.succeededFuture(undecided
					? new SubmitResult.Undecided(
							"the store gave no clear answer (" + cause + "); submit the same change id again")
					: new SubmitResult.StoreUnavailable("other changes kept coming first; submit the change again"));
		}
		return this.vertx.timer(PAUSE_MILLIS << attempt.number(), TimeUnit.MILLISECONDS)
			.compose((elapsed) -> attempt(attempt.next(undecided)));
	}

	/**
	 * One attempt to store a change.
	 *
	 * @param change the change
	 * @param restored configuration to write back, null for an ordinary change
	 * @param number number of the attempt, from 1
	 * @param undecided whether an earlier write may have taken effect or may yet do so
	 * @param beganNanos when the first attempt began
	 */
	private record Attempt(Change change, Configuration restored, int number, boolean undecided, long beganNanos) {

		Attempt next(boolean nowUndecided) {
			return new Attempt(this.change, this.restored, this.number + 1, nowUndecided, this.beganNanos);
		}

	}

	/**
	 * What follows from a read.
	 *
	 * @param next document to write, null if none
	 * @param version version that the write expects
	 * @param acceptedDocument stored document that already contains the change, or null
	 * @param result the outcome, null if a write decides it
	 * @param retry whether a later read may change the outcome
	 */
	private record Step(Configuration next, long version, Configuration acceptedDocument, SubmitResult result,
			boolean retry) {

		static Step write(Configuration next, long version) {
			return new Step(next, version, null, null, false);
		}

		static Step accepted(Configuration document, long revision) {
			return new Step(null, 0, document, new SubmitResult.Stored(revision), false);
		}

		static Step result(SubmitResult result) {
			return new Step(null, 0, null, result, false);
		}

		static Step retry(SubmitResult result) {
			return new Step(null, 0, null, result, true);
		}

	}

}
