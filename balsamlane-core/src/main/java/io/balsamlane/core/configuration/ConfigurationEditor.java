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
		for (ObjectChange object : change.getObjectsList()) {
			Optional<ObjectChange> before = find(current, object);
			long actualRevision = before.map(ObjectChange::getExpectedRevision).orElse(0L);
			if (actualRevision != object.getExpectedRevision()) {
				return new Conflict(describe(object), object.getExpectedRevision(), actualRevision);
			}
			Optional<String> problem = ConfigurationRules.problem(object);
			if (problem.isPresent()) {
				return new Invalid(problem.get());
			}
			previous.add(before
				.orElse(ObjectChange.newBuilder().setKind(object.getKind()).setName(object.getName()).build()));
			replace(next, object, revision);
		}
		List<Change> changes = new ArrayList<>(current.getChangesList());
		changes.add(change.toBuilder()
			.setRevision(revision)
			.setAcceptedEpochMillis(epochMillis)
			.clearPrevious()
			.addAllPrevious(previous)
			.build());
		next.clearChanges().addAllChanges(changes.subList(Math.max(0, changes.size() - MAX_CHANGES), changes.size()));
		return new Edited(next.build());
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
