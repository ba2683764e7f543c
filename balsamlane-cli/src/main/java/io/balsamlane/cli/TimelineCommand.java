package io.balsamlane.cli;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.balsamlane.schema.Event;
import io.balsamlane.schema.EventReply;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.cli.Options;

/**
 * Shows the events of all routers in causal order.
 */
final class TimelineCommand implements Command {

	private static final int DEFAULT_LIMIT = 1000;

	@Override
	public String name() {
		return "timeline";
	}

	@Override
	public String summary() {
		return "show the events of all routers in causal order; works while some are dead";
	}

	@Override
	public Options options() {
		return new Options().addOption(null, "request", true, "only events of this request")
			.addOption(null, "engine", true, "only events about this engine, service replica or router")
			.addOption(null, "node", true, "only events that this router recorded")
			.addOption(null, "revision", true, "only events of this revision of the configuration")
			.addOption(null, "from", true, "only events since this time, such as 2026-12-04T05:00:00Z")
			.addOption(null, "to", true, "only events until this time")
			.addOption(null, "limit", true, "number of newest events; 1000 by default, at most 10000")
			.addOption(null, "html", true, "write a picture into this HTML file");
	}

	@Override
	public String example() {
		return "timeline --request router-1-mix2lqcw-0 --html request.html";
	}

	@Override
	public ExitCode run(CommandContext context) {
		String query = "events?request=" + encode(context, "request") + "&subject=" + encode(context, "engine")
				+ "&host=" + encode(context, "node") + "&revision=" + context.number("revision", 0) + "&from="
				+ millis(context, "from") + "&to=" + millis(context, "to") + "&limit="
				+ context.number("limit", DEFAULT_LIMIT);
		EventReply merged = gather(context, query);
		if (context.line().hasOption("html")) {
			FileText.write(context.option("html"), TimelinePicture.html(merged));
			context.note("Wrote " + merged.getEventsCount() + " events to " + context.option("html"));
		}
		else if (context.json()) {
			merged.getEventsList().forEach((event) -> context.print(json(event)));
		}
		else {
			merged.getEventsList().forEach((event) -> context.print(TimelineText.line(event)));
		}
		if (context.json()) {
			context.print(new JsonObject().put("answered", new JsonArray(merged.getAnsweredList()))
				.put("missing", new JsonArray(merged.getMissingList()))
				.put("overwritten", merged.getOverwritten())
				.encode());
		}
		else {
			merged.getMissingList().forEach((host) -> context.print("No answer from " + host));
		}
		return ExitCode.DONE;
	}

	// Each named router gathers from all members that it knows. All are asked, because a
	// region that is cut off is known only to routers inside it.
	private static EventReply gather(CommandContext context, String query) {
		List<EventReply> replies = new ArrayList<>();
		Set<String> missing = new TreeSet<>();
		for (URI server : context.routers().servers()) {
			Optional<RouterClient.Answer> answer = context.routers().getFrom(server, query);
			if (answer.isPresent()) {
				replies.add(RouterClient.parse(RouterClient.require(answer.get()), EventReply.newBuilder()).build());
			}
			else {
				missing.add(server.toString());
			}
		}
		if (replies.isEmpty()) {
			throw CommandException.unreachable("No router answered: " + String.join(", ", missing)
					+ "; name another router with --server or BALSAMLANE_SERVER");
		}
		return merge(replies, missing);
	}

	private static EventReply merge(List<EventReply> replies, Set<String> missing) {
		Set<String> answered = new TreeSet<>();
		replies.forEach((reply) -> answered.addAll(reply.getAnsweredList()));
		replies.forEach((reply) -> missing.addAll(reply.getMissingList()));
		missing.removeAll(answered);
		return EventReply.newBuilder()
			.addAllEvents(replies.stream()
				.flatMap((reply) -> reply.getEventsList().stream())
				.distinct()
				.sorted(Comparator.comparingLong(Event::getHybridTime).thenComparing(Event::getHost))
				.toList())
			.setOverwritten(replies.stream().mapToLong(EventReply::getOverwritten).max().orElse(0))
			.addAllAnswered(answered)
			.addAllMissing(missing)
			.build();
	}

	private static String json(Event event) {
		try {
			return JsonFormat.printer().omittingInsignificantWhitespace().print(event);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A message of the schema cannot be printed", ex);
		}
	}

	private static String encode(CommandContext context, String option) {
		return URLEncoder.encode(context.option(option), StandardCharsets.UTF_8);
	}

	private static long millis(CommandContext context, String option) {
		String text = context.option(option);
		if (text.isEmpty()) {
			return 0;
		}
		try {
			return Instant.parse(text).toEpochMilli();
		}
		catch (DateTimeParseException ex) {
			throw CommandException
				.usage("--" + option + " is \"" + text + "\"; use a time such as 2026-12-04T05:00:00Z");
		}
	}

}
