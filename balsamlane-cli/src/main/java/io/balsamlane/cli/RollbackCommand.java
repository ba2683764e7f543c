package io.balsamlane.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ObjectChange;
import org.apache.commons.cli.Options;

/**
 * Restores the objects of an earlier revision by a new change.
 */
final class RollbackCommand implements Command {

	@Override
	public String name() {
		return "rollback";
	}

	@Override
	public String summary() {
		return "restore an earlier revision by a new change";
	}

	@Override
	public String arguments() {
		return "REVISION";
	}

	@Override
	public Options options() {
		return ChangeSender.options();
	}

	@Override
	public String example() {
		return "rollback 41";
	}

	@Override
	public ExitCode run(CommandContext context) {
		if (context.arguments().size() != 1) {
			throw CommandException.usage("rollback needs the revision to restore, see: balsamlanectl history");
		}
		long revision = CommandContext.number("REVISION", context.arguments().get(0));
		Configuration current = context.configuration();
		return ChangeSender.of(context).send(ChangePlan.of(current, earlier(current, revision)));
	}

	/**
	 * Finds the objects that were changed since a revision, as they were then.
	 * @param current the configuration in force
	 * @param revision the revision to restore
	 * @return the objects, with their present revisions as expected ones
	 */
	static List<ObjectChange> earlier(Configuration current, long revision) {
		List<Change> later = current.getChangesList()
			.stream()
			.filter((change) -> change.getRevision() > revision)
			.toList();
		if (revision < 0 || revision > current.getRevision() || later.size() != current.getRevision() - revision) {
			long oldest = current.getRevision() - current.getChangesCount();
			throw CommandException.refused("Revision " + revision + " cannot be restored; use one from " + oldest
					+ " to " + current.getRevision() + ", see: balsamlanectl history");
		}
		Map<String, ObjectChange> objects = new LinkedHashMap<>();
		later.forEach((change) -> change.getObjectsList()
			.forEach((object) -> objects.putIfAbsent(ConfigurationObjects.title(object),
					ChangeText.previous(change, object)
						.toBuilder()
						.setExpectedRevision(ConfigurationObjects.find(current, object.getKind(), object.getName())
							.map(ObjectChange::getExpectedRevision)
							.orElse(0L))
						.build())));
		return List.copyOf(objects.values());
	}

}
