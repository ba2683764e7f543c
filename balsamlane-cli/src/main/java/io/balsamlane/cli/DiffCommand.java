package io.balsamlane.cli;

import org.apache.commons.cli.Options;

/**
 * Shows what a file would change.
 */
final class DiffCommand implements Command {

	@Override
	public String name() {
		return "diff";
	}

	@Override
	public String summary() {
		return "show what apply would change, without submitting it";
	}

	@Override
	public Options options() {
		return new Options().addOption("f", "file", true, "INI file with objects");
	}

	@Override
	public String example() {
		return "diff --file selector.ini";
	}

	@Override
	public ExitCode run(CommandContext context) {
		return ChangeSender.of(context)
			.show(ChangePlan.of(context.configuration(), ObjectFile.parse(FileText.read(context))));
	}

}
