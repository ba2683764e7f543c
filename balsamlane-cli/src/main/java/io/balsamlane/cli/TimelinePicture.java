package io.balsamlane.cli;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.balsamlane.schema.Event;
import io.balsamlane.schema.EventReply;

/**
 * Draws events as a self-contained HTML page: one column for each router, time downwards,
 * and the events of one request joined by a line.
 */
final class TimelinePicture {

	private static final int ROW = 18;

	private static final int COLUMN = 110;

	private static final int TOP = 40;

	private static final int LEFT = 110;

	private static final int TEXT_WIDTH = 900;

	private static final List<String> COLORS = List.of("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf",
			"#8c564b", "#e377c2");

	private TimelinePicture() {
	}

	static String html(EventReply reply) {
		List<Event> events = reply.getEventsList();
		Map<String, Integer> columns = new TreeMap<>();
		events.forEach((event) -> columns.put(event.getHost(), 0));
		int next = 0;
		for (Map.Entry<String, Integer> column : columns.entrySet()) {
			column.setValue(LEFT + COLUMN / 2 + COLUMN * next++);
		}
		int textX = LEFT + COLUMN * columns.size() + 10;
		int height = TOP + ROW * (events.size() + 1);
		StringBuilder svg = new StringBuilder();
		columns.forEach((host, x) -> svg.append(line(x, TOP - 10, x, height, "#ccc")).append(text(x - 40, 20, host)));
		Map<String, Integer> last = new TreeMap<>();
		for (int index = 0; index < events.size(); index++) {
			Event event = events.get(index);
			int x = columns.get(event.getHost());
			int y = TOP + ROW * index;
			String color = color(event);
			Integer before = event.getRequestId().isEmpty() ? null : last.put(event.getRequestId(), index);
			if (before != null) {
				svg.append(line(columns.get(events.get(before).getHost()), TOP + ROW * before, x, y, color));
			}
			svg.append("<circle cx=\"" + x + "\" cy=\"" + y + "\" r=\"4\" fill=\"" + color + "\"/>\n");
			svg.append(text(4, y + 4, TimelineText.time(event)));
			svg.append(text(textX, y + 4, event.getKind() + " " + TimelineText.summary(event)));
		}
		String missing = (reply.getMissingCount() > 0) ? "No answer from " + String.join(", ", reply.getMissingList())
				: "All routers answered";
		return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Time line</title></head>\n"
				+ "<body style=\"font-family:sans-serif\">\n<p>" + escape(missing) + ". Times are in UTC.</p>\n"
				+ "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + (textX + TEXT_WIDTH) + "\" height=\"" + height
				+ "\" font-family=\"monospace\" font-size=\"12\">\n" + svg + "</svg>\n</body></html>\n";
	}

	private static String color(Event event) {
		return event.getRequestId().isEmpty() ? "#555"
				: COLORS.get(Math.floorMod(event.getRequestId().hashCode(), COLORS.size()));
	}

	private static String line(int x1, int y1, int x2, int y2, String color) {
		return "<line x1=\"" + x1 + "\" y1=\"" + y1 + "\" x2=\"" + x2 + "\" y2=\"" + y2 + "\" stroke=\"" + color
				+ "\"/>\n";
	}

	private static String text(int x, int y, String content) {
		return "<text x=\"" + x + "\" y=\"" + y + "\">" + escape(content) + "</text>\n";
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
