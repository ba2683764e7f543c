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
 * Applies a change to a configuration if no object was changed since its editor read it.
 */
public final class ConfigurationEditor {

	/** Changes kept in the document for history and rollback. */
	public static final int MAX_CHANGES = 50;

	/** Largest document in bytes; the platform store takes no larger value. */
	public static final int MAX_DOCUMENT_BYTES = 1 << 20;

	private ConfigurationEditor() {
	}

	/**
	 * Applies a change.
	 * @param current the configuration as the store holds it
	 * @param change the change
	 * @param epochMillis wall-clock time for the history, in milliseconds since 1970
	 * @return the outcome
	 */
	public static EditResult apply(Configuration current, Change change, long epochMillis) {
		Optional<Change> earlier = current.getChangesList()
			.stream()
			.filter((accepted) -> accepted.getChangeId().equals(change.getChangeId()))
			.findFirst();
		if (earlier.isPresent()) {
			return new AlreadyAccepted(earlier.get().getRevision());
		}
		long revision = current.getRevision() + 1;
		Configuration.Builder next = current.toBuilder().setRevision(revision);
		List<ObjectChange> previous = new ArrayList<>();
		Optional<String> changeProblem = ConfigurationRules.changeProblem(change);
		if (changeProblem.isPresent()) {
			return new Invalid(changeProblem.get());
		}
		for (ObjectChange object : change.getObjectsList()) {
			Optional<ObjectChange> before = find(current, object);
			long actualRevision = before.map(ObjectChange::getExpectedRevision).orElse(0L);
			if (actualRevision != object.getExpectedRevision()) {
				return new Conflict(describe(object), object.getExpectedRevision(), actualRevision);
			}
			Optional<String> objectProblem = ConfigurationRules.problem(object);
			if (objectProblem.isPresent()) {
				return new Invalid(objectProblem.get());
			}
			previous.add(before
				.orElse(ObjectChange.newBuilder().setKind(object.getKind()).setName(object.getName()).build()));
			replace(next, object, revision);
		}
		Optional<String> problem = ConfigurationRules.documentProblem(next);
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
		return fit(next, changes);
	}

	// Keeps as much history as the bounds allow; the newest change is always kept.
	private static EditResult fit(Configuration.Builder next, List<Change> changes) {
		int first = Math.max(0, changes.size() - MAX_CHANGES);
		Configuration document = next.clearChanges().addAllChanges(changes.subList(first, changes.size())).build();
		while (document.getSerializedSize() > MAX_DOCUMENT_BYTES && first < changes.size() - 1) {
			first++;
			document = next.clearChanges().addAllChanges(changes.subList(first, changes.size())).build();
		}
		if (document.getSerializedSize() > MAX_DOCUMENT_BYTES) {
			return new Invalid("The configuration would have " + document.getSerializedSize() + " bytes, more than "
					+ MAX_DOCUMENT_BYTES + "; remove objects that are no longer used");
		}
		return new Edited(document);
	}

	/**
	 * Applies changes that were accepted already.
	 * @param base the configuration before the changes
	 * @param accepted the changes, in the order of their revisions
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
	 * Tells whether a configuration contains the newest change of an earlier one.
	 * @param next the later configuration
	 * @param earlier the earlier configuration
	 * @return false if the change is missing although the history reaches back to it
	 */
	static boolean continues(Configuration next, Configuration earlier) {
		if (earlier.getChangesCount() == 0 || next.getChangesCount() == 0) {
			return true;
		}
		Change newest = earlier.getChanges(earlier.getChangesCount() - 1);
		if (next.getChanges(0).getRevision() > newest.getRevision()) {
			return true;
		}
		return next.getChangesList()
			.stream()
			.anyMatch((change) -> change.getRevision() == newest.getRevision()
					&& change.getChangeId().equals(newest.getChangeId()));
	}

	/**
	 * Creates the document that brings a store with an older document, or none, back to
	 * the configuration in force.
	 * @param applied the configuration in force
	 * @param change id and author of the restore; it changes no object
	 * @param storedRevision revision that the store holds, 0 if none
	 * @param epochMillis wall-clock time for the history, in milliseconds since 1970
	 * @return the document, with a revision above both
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
	 * Creates the inverse of an accepted change. It is submitted like any other change
	 * and conflicts if one of its objects was changed since.
	 * @param current the configuration in force
	 * @param revision revision of the change to undo
	 * @param changeId id of the new change
	 * @param author author of the new change
	 * @return the new change, empty if the history does not reach back to the revision
	 */
	public static Optional<Change> rollback(Configuration current, long revision, String changeId, String author) {
		return current.getChangesList()
			.stream()
			.filter((change) -> change.getRevision() == revision)
			.findFirst()
			.map((change) -> {
				Change.Builder inverse = Change.newBuilder().setChangeId(changeId).setAuthor(author);
				for (int index = 0; index < change.getObjectsCount(); index++) {
					// A deleted object is expected to be still absent (0), any other to
					// be
					// as this change left it.
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
	 * Finds the object that a change is about.
	 * @param configuration the configuration to search
	 * @param object kind and name
	 * @return the object as it is, with its revision as the expected revision
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
