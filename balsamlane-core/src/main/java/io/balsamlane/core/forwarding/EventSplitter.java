package io.balsamlane.core.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of an event stream ({@code text/event-stream}) into whole events. Not
 * safe for use by several threads.
 */
public final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private final int maxEventBytes;

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private int lineLength;

	private EventSplitter(int maxEventBytes) {
		this.maxEventBytes = maxEventBytes;
	}

	/**
	 * Creates a splitter.
	 * @param maxEventBytes largest event
	 * @return the splitter
	 */
	public static EventSplitter create(int maxEventBytes) {
		return new EventSplitter(maxEventBytes);
	}

	/**
	 * Takes the next bytes of the stream.
	 * @param bytes the bytes
	 * @return the events that are now whole
	 * @throws IllegalArgumentException if an event is larger than the bound
	 */
	public List<Event> feed(byte[] bytes) {
		List<Event> events = new ArrayList<>();
		for (byte next : bytes) {
			this.partial.write(next);
			if (next == '\n') {
				if (this.lineLength == 0) {
					events.add(whole());
				}
				this.lineLength = 0;
			}
			else if (next != '\r') {
				this.lineLength++;
			}
			if (this.partial.size() > this.maxEventBytes) {
				throw new IllegalArgumentException("An event has more than " + this.maxEventBytes + " bytes");
			}
		}
		return events;
	}

	/**
	 * Tells whether the stream so far ends with a whole event.
	 * @return false if the start of an event waits for its rest
	 */
	public boolean atBoundary() {
		return this.partial.size() == 0;
	}

	private Event whole() {
		byte[] bytes = this.partial.toByteArray();
		this.partial.reset();
		long id = new String(bytes, StandardCharsets.UTF_8).lines()
			.filter((line) -> line.startsWith(ID_FIELD))
			.map((line) -> line.substring(ID_FIELD.length()).trim())
			.filter((text) -> text.matches("\\d{1,18}"))
			.mapToLong(Long::parseLong)
			.findFirst()
			.orElse(Event.NO_ID);
		return new Event(bytes, id);
	}

	/**
	 * A whole event with its closing empty line.
	 *
	 * @param bytes the event as the server sent it
	 * @param id its id, {@link #NO_ID} if it has none
	 */
	public record Event(byte[] bytes, long id) {

		/** Stands for a missing id. */
		public static final long NO_ID = -1;

	}

}
