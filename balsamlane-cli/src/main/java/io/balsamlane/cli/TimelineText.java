package io.balsamlane.cli;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

import io.balsamlane.schema.Event;

/**
 * Formats an event as one line of text.
 */
final class TimelineText {

	private static final int COUNTER_BITS = 16;

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

	private TimelineText() {
	}

	static String line(Event event) {
		return String.format("%s %-10s %-22s %s", time(event), event.getHost(), event.getKind(), summary(event))
			.stripTrailing();
	}

	static String time(Event event) {
		return TIME.format(Instant.ofEpochMilli(event.getHybridTime() >>> COUNTER_BITS));
	}

	static String summary(Event event) {
		StringBuilder text = new StringBuilder(event.getRequestId());
		if (event.getAttempt() > 0) {
			text.append('.').append(event.getAttempt());
		}
		if (event.getRevision() > 0) {
			text.append(" revision ").append(event.getRevision());
		}
		text.append(' ').append(event.getSubject()).append(' ').append(event.getDetail());
		return text.toString().strip();
	}

}
