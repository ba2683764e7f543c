package io.balsamlane.cli;

import org.apache.commons.cli.Options;

/**
 * Brings the objects of a file into force.
 */
final class ApplyCommand implements Command {

	@Override
	public String name() {
		return "apply";
	}

	@Override
	public String summary() {
		return "show what a file changes, submit it, and report where it is in force";
	}

	@Override
	public Options options() {
		return ChangeSender.options().addOption("f", "file", true, "INI file with objects");
	}

	@Override
	public String example() {
		return "apply --file selector.ini";
	}

	@Override
	public ExitCode run(CommandContext context) {
		return ChangeSender.of(context)
			.send(ChangePlan.of(context.configuration(), ObjectFile.parse(FileText.read(context))));
	}

}
