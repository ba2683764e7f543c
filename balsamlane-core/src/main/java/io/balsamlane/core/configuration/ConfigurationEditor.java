package io.balsamlane.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.balsamlane.core.configuration.EditResult.AlreadyAccepted;
import io.balsamlane.core.configuration.EditResult.Conflict;
import io.balsamlane.core.configuration.EditResult.Edited;
import io.balsamlane.core.configuration.EditResult.Invalid;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;
import io.balsamlane.schema.Selector;

/**
 * Applies changes to a configuration with optimistic concurrency control: a change is
 * rejected if one of its objects was modified after the author read it.
 */
public final class ConfigurationEditor {

	/** Maximum number of changes kept in the document for history and rollback. */
	public static final int MAX_CHANGES = 50;

	/** Maximum document size in bytes; the platform store accepts no larger value. */
	public static final int MAX_DOCUMENT_BYTES = 1 << 20;

	private ConfigurationEditor() {
	}

	/**
	 * Apply a change.
	 * @param current the stored configuration
	 * @param change the change
	 * @param epochMillis acceptance time recorded in the history, in milliseconds since
	 * the epoch
	 * @return the outcome
	 */
	public static EditResult apply(Configuration current, Change change, long epochMillis) {
		Optional<Change> accepted = current.getChangesList()
			.stream()
			.filter((known) -> known.getChangeId().equals(change.getChangeId()))
			.findFirst();
		if (accepted.isPresent()) {
			return new AlreadyAccepted(accepted.get().getRevision());
		}
		long revision = current.getRevision() + 1;
		Configuration.Builder next = current.toBuilder().setRevision(revision);
		List<ObjectChange> previous = new ArrayList<>();
		Optional<String> changeProblem = ConfigurationValidator.validateChange(change);
		if (changeProblem.isPresent()) {
			return new Invalid(changeProblem.get());
		}
		for (ObjectChange object : change.getObjectsList()) {
			Optional<ObjectChange> existing = find(current, object);
			long actualRevision = existing.map(ObjectChange::getExpectedRevision).orElse(0L);
			if (actualRevision != object.getExpectedRevision()) {
				return new Conflict(describe(object), object.getExpectedRevision(), actualRevision);
			}
			Optional<String> objectProblem = ConfigurationValidator.validateObject(object);
			if (objectProblem.isPresent()) {
				return new Invalid(objectProblem.get());
			}
			previous.add(existing
				.orElse(ObjectChange.newBuilder().setKind(object.getKind()).setName(object.getName()).build()));
			replace(next, object, revision);
		}
		Optional<String> problem = ConfigurationValidator.validateDocument(next);
		if (problem.isPresent()) {
			return new Invalid(problem.get());
		}
		List<Change> changes = new ArrayList<>(current.getChangesList());
		changes.add(change.toBuilder()
			.setRevision(revision)
			.setAcceptedEpochMillis(epochMillis)
			.clearPrevious()
			.addAllPrevious(previous)
			.build());
		return trimHistory(next, changes);
	}

	// Drops the oldest changes until the history and document limits are met. The latest
	// change is always kept.
	private static EditResult trimHistory(Configuration.Builder next, List<Change> changes) {
		int first = Math.max(0, changes.size() - MAX_CHANGES);
		Configuration document = next.clearChanges().addAllChanges(changes.subList(first, changes.size())).build();
		while (document.getSerializedSize() > MAX_DOCUMENT_BYTES && first < changes.size() - 1) {
			first++;
			document = next.clearChanges().addAllChanges(changes.subList(first, changes.size())).build();
		}
		if (document.getSerializedSize() > MAX_DOCUMENT_BYTES) {
			return new Invalid("The configuration would have " + document.getSerializedSize() + " bytes, more than "
					+ MAX_DOCUMENT_BYTES + "; remove unused objects");
		}
		return new Edited(document);
	}

	/**
	 * Apply changes that have already been accepted, without validating them again.
	 * @param base the configuration before the changes
	 * @param accepted the changes, ordered by revision
	 * @param oldestChange revision of the oldest change to keep in the history
	 * @return the configuration after the last change
	 */
	static Configuration replay(Configuration base, List<Change> accepted, long oldestChange) {
		Configuration.Builder next = base.toBuilder();
		List<Change> history = new ArrayList<>(base.getChangesList());
		for (Change change : accepted) {
			change.getObjectsList().forEach((object) -> replace(next, object, change.getRevision()));
			next.setRevision(change.getRevision());
			history.add(change);
		}
		return next.clearChanges()
			.addAllChanges(history.stream().filter((change) -> change.getRevision() >= oldestChange).toList())
			.build();
	}

	/**
	 * Return whether the history of a configuration contains the latest change of an
	 * earlier configuration.
	 * @param next the later configuration
	 * @param earlier the earlier configuration
	 * @return {@code false} if the change is missing although the history reaches back to
	 * its revision
	 */
	static boolean containsLatestChange(Configuration next, Configuration earlier) {
		if (earlier.getChangesCount() == 0 || next.getChangesCount() == 0) {
			return true;
		}
		Change latest = earlier.getChanges(earlier.getChangesCount() - 1);
		if (next.getChanges(0).getRevision() > latest.getRevision()) {
			return true;
		}
		return next.getChangesList()
			.stream()
			.anyMatch((change) -> change.getRevision() == latest.getRevision()
					&& change.getChangeId().equals(latest.getChangeId()));
	}

	/**
	 * Create the document that restores the applied configuration to a store that holds
	 * an older document or none.
	 * @param applied the applied configuration
	 * @param change the id and author of the restore; its objects are ignored
	 * @param storedRevision revision of the stored document, 0 if there is none
	 * @param epochMillis acceptance time recorded in the history, in milliseconds since
	 * the epoch
	 * @return the document, whose revision is higher than the applied and the stored one
	 */
	public static Configuration restore(Configuration applied, Change change, long storedRevision, long epochMillis) {
		long revision = Math.max(applied.getRevision(), storedRevision) + 1;
		List<Change> changes = new ArrayList<>(applied.getChangesList());
		changes
			.add(change.toBuilder().clearObjects().setRevision(revision).setAcceptedEpochMillis(epochMillis).build());
		int first = Math.max(0, changes.size() - MAX_CHANGES);
		return applied.toBuilder()
			.setRevision(revision)
			.clearChanges()
			.addAllChanges(changes.subList(first, changes.size()))
			.build();
	}

	/**
	 * Create the inverse of an accepted change. It is submitted like any other change and
	 * conflicts if one of its objects has been modified since.
	 * @param current the applied configuration
	 * @param revision revision of the change to undo
	 * @param changeId id of the new change
	 * @param author author of the new change
	 * @return the new change; empty if the history does not contain the revision
	 */
	public static Optional<Change> rollback(Configuration current, long revision, String changeId, String author) {
		return current.getChangesList()
			.stream()
			.filter((change) -> change.getRevision() == revision)
			.findFirst()
			.map((change) -> {
				Change.Builder inverse = Change.newBuilder().setChangeId(changeId).setAuthor(author);
				for (int index = 0; index < change.getObjectsCount(); index++) {
					// A deleted object must still be absent (revision 0), any other must
					// still have the revision of the change.
					boolean deleted = change.getObjects(index)
						.getObjectCase() == ObjectChange.ObjectCase.OBJECT_NOT_SET;
					inverse
						.addObjects(change.getPrevious(index).toBuilder().setExpectedRevision(deleted ? 0 : revision));
				}
				return inverse.build();
			});
	}

	private static String describe(ObjectChange object) {
		return object.getKind().name().toLowerCase(java.util.Locale.ROOT) + " " + object.getName();
	}

	/**
	 * Find the current state of the object that a change refers to.
	 * @param configuration the configuration to search
	 * @param object the kind and name of the object
	 * @return the current object, with its revision as expected revision; empty if it
	 * does not exist
	 */
	static Optional<ObjectChange> find(Configuration configuration, ObjectChange object) {
		ObjectChange.Builder found = ObjectChange.newBuilder().setKind(object.getKind()).setName(object.getName());
		String name = object.getName();
		return switch (object.getKind()) {
			case POOL -> configuration.getPoolsList()
				.stream()
				.filter((pool) -> pool.getName().equals(name))
				.findFirst()
				.map((pool) -> found.setPool(pool).setExpectedRevision(pool.getChangedRevision()).build());
			case SERVICE -> configuration.getServicesList()
				.stream()
				.filter((service) -> service.getName().equals(name))
				.findFirst()
				.map((service) -> found.setService(service).setExpectedRevision(service.getChangedRevision()).build());
			case SELECTOR -> configuration.getSelectorsList()
				.stream()
				.filter((selector) -> selector.getName().equals(name))
				.findFirst()
				.map((selector) -> found.setSelector(selector)
					.setExpectedRevision(selector.getChangedRevision())
					.build());
			case CALLER -> configuration.getCallersList()
				.stream()
				.filter((caller) -> caller.getName().equals(name))
				.findFirst()
				.map((caller) -> found.setCaller(caller).setExpectedRevision(caller.getChangedRevision()).build());
			default -> Optional.empty();
		};
	}

	private static void replace(Configuration.Builder next, ObjectChange object, long revision) {
		String name = object.getName();
		switch (object.getKind()) {
			case POOL -> {
				List<Pool> kept = next.getPoolsList().stream().filter((pool) -> !pool.getName().equals(name)).toList();
				next.clearPools().addAllPools(kept);
				if (object.hasPool()) {
					next.addPools(object.getPool().toBuilder().setName(name).setChangedRevision(revision));
				}
			}
			case SERVICE -> {
				List<PlainService> kept = next.getServicesList()
					.stream()
					.filter((service) -> !service.getName().equals(name))
					.toList();
				next.clearServices().addAllServices(kept);
				if (object.hasService()) {
					next.addServices(object.getService().toBuilder().setName(name).setChangedRevision(revision));
				}
			}
			case SELECTOR -> {
				List<Selector> kept = next.getSelectorsList()
					.stream()
					.filter((selector) -> !selector.getName().equals(name))
					.toList();
				next.clearSelectors().addAllSelectors(kept);
				if (object.hasSelector()) {
					next.addSelectors(object.getSelector().toBuilder().setName(name).setChangedRevision(revision));
				}
			}
			case CALLER -> {
				List<Caller> kept = next.getCallersList()
					.stream()
					.filter((caller) -> !caller.getName().equals(name))
					.toList();
				next.clearCallers().addAllCallers(kept);
				if (object.hasCaller()) {
					next.addCallers(object.getCaller().toBuilder().setName(name).setChangedRevision(revision));
				}
			}
			default -> throw new IllegalArgumentException("Unknown kind " + object.getKind());
		}
	}

}
