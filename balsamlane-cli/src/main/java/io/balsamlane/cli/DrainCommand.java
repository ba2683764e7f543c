package io.balsamlane.cli;

import java.net.URI;

import io.balsamlane.schema.Change;
import io.vertx.core.json.JsonObject;

/**
 * Tells one router to finish its requests and to stop.
 */
final class DrainCommand implements Command {

	@Override
	public String name() {
		return "drain";
	}

	@Override
	public String summary() {
		return "tell the one router that --server names to finish its requests and stop";
	}

	@Override
	public String example() {
		return "drain --server http://10.0.0.1:8081";
	}

	@Override
	public ExitCode run(CommandContext context) {
		if (context.routers().servers().size() != 1) {
			throw CommandException.usage("drain stops one router; name exactly one with --server URL");
		}
		URI server = context.routers().servers().get(0);
		RouterClient.Answer answer = context.routers()
			.postTo(server, "drain", Change.getDefaultInstance())
			.orElseThrow(() -> CommandException
				.unreachable("Router " + server + " does not answer; if its process is gone, nothing is left to do"));
		JsonObject json = RouterClient.require(answer).json();
		if (context.json()) {
			context.printJson(json);
			return ExitCode.DONE;
		}
		context.print("Router " + json.getString("host") + " is draining; requests in progress: "
				+ json.getInteger("requestsInProgress", 0) + ". Its process ends when they are finished.");
		return ExitCode.DONE;
	}

}
