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
 * Store configuration changes by compare-and-swap. If the response to a write is lost,
 * the outcome is determined by reading the document back.
 * <p>
 * A write whose response is lost may take effect at any later time, but only while the
 * stored version is the one that it expects. If the next attempt reads that version, both
 * writes contain the same change and one of them fails. If it reads a later version, the
 * change is either in the history of the document or can never take effect.
 */
final class ChangeSubmitter {

	private static final int MAX_ATTEMPTS = 8;

	/** Base of the exponential backoff, which resolves contention between writers. */
	private static final long BACKOFF_BASE_MILLIS = 10;

	/** Shorter than the response timeout of the operator command-line tool. */
	private static final long RETRY_LIMIT_MILLIS = 6000;

	private final Vertx vertx;

	private final PlatformStore store;

	private final LongSupplier highestKnownRevision;

	private final Consumer<Configuration> accepted;

	private ChangeSubmitter(Vertx vertx, PlatformStore store, LongSupplier highestKnownRevision,
			Consumer<Configuration> accepted) {
		this.vertx = vertx;
		this.store = store;
		this.highestKnownRevision = highestKnownRevision;
		this.accepted = accepted;
	}

	/**
	 * Create a submitter.
	 * @param vertx provides timers and worker threads
	 * @param store the platform store
	 * @param highestKnownRevision supplies the highest revision that this node knows of
	 * @param accepted receives each configuration that was stored
	 * @return the submitter
	 */
	static ChangeSubmitter create(Vertx vertx, PlatformStore store, LongSupplier highestKnownRevision,
			Consumer<Configuration> accepted) {
		return new ChangeSubmitter(vertx, store, highestKnownRevision, accepted);
	}

	Future<SubmitResult> submit(Change change) {
		return attempt(new Attempt(change, null, 1, false, System.nanoTime()));
	}

	Future<SubmitResult> restore(Configuration applied, Change change) {
		return attempt(new Attempt(change, applied, 1, false, System.nanoTime()));
	}

	private Future<SubmitResult> attempt(Attempt attempt) {
		return this.store.get(ConfigurationManager.KEY).compose((read) -> {
			if (read instanceof StoreRead.Unavailable unavailable) {
				// Nothing was stored, unless the outcome of an earlier write is unknown;
				// only a later read can determine that outcome.
				return attempt.undecided() ? retryAfterBackoff(attempt, true, unavailable.message())
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
		long known = this.highestKnownRevision.getAsLong();
		if (stored.getRevision() < known) {
			// Editing the older document would revert the configuration in force.
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
		long known = this.highestKnownRevision.getAsLong();
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
					? retryAfterBackoff(attempt, attempt.undecided(), step.result().toString())
					: Future.succeededFuture(step.result());
		}
		return Future.succeededFuture(step.result());
	}

	private Future<SubmitResult> write(Step step, Attempt attempt) {
		Configuration next = step.next();
		return this.vertx.executeBlocking(next::toByteArray)
			.compose((bytes) -> this.store.compareAndSet(ConfigurationManager.KEY, bytes, step.version()))
			.compose((write) -> {
				if (write instanceof StoreWrite.Written) {
					this.accepted.accept(next);
					return Future.succeededFuture(new SubmitResult.Stored(next.getRevision()));
				}
				if (write instanceof StoreWrite.Rejected rejected) {
					return attempt.undecided() ? retryAfterBackoff(attempt, true, rejected.message())
							: Future.succeededFuture(new SubmitResult.StoreUnavailable(rejected.message()));
				}
				boolean undecided = write instanceof StoreWrite.Undecided;
				return retryAfterBackoff(attempt, attempt.undecided() || undecided, write.toString());
			});
	}

	private Future<SubmitResult> retryAfterBackoff(Attempt attempt, boolean undecided, String cause) {
		long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - attempt.startNanos());
		if (attempt.number() >= MAX_ATTEMPTS || elapsedMillis > RETRY_LIMIT_MILLIS) {
			return Future.succeededFuture(undecided
					? new SubmitResult.Undecided(
							"the store gave no clear answer (" + cause + "); submit the same change id again")
					: new SubmitResult.StoreUnavailable("other changes kept coming first; submit the change again"));
		}
		return this.vertx.timer(BACKOFF_BASE_MILLIS << attempt.number(), TimeUnit.MILLISECONDS)
			.compose((elapsed) -> attempt(attempt.next(undecided)));
	}

	/**
	 * An attempt to store a change.
	 *
	 * @param change the change to store
	 * @param restored the configuration to write back, null for an ordinary change
	 * @param number the number of the attempt, starting at 1
	 * @param undecided whether an earlier write may have taken effect or may yet do so
	 * @param startNanos start time of the first attempt, from {@link System#nanoTime()}
	 */
	private record Attempt(Change change, Configuration restored, int number, boolean undecided, long startNanos) {

		Attempt next(boolean nowUndecided) {
			return new Attempt(this.change, this.restored, this.number + 1, nowUndecided, this.startNanos);
		}

	}

	/**
	 * The action to take after a read of the store.
	 *
	 * @param next the document to write, null if none
	 * @param version the version that the write expects
	 * @param acceptedDocument a stored document that contains the change, or null
	 * @param result the outcome, null if it depends on a write
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
