package io.balsamlane.core.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of an event stream ({@code text/event-stream}) into complete events.
 * Not thread-safe.
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
	 * Create a splitter.
	 * @param maxEventBytes maximum size of an event in bytes
	 * @return the splitter
	 */
	public static EventSplitter create(int maxEventBytes) {
		return new EventSplitter(maxEventBytes);
	}

	/**
	 * Process the next bytes of the stream.
	 * @param bytes the bytes
	 * @return the events completed by these bytes
	 * @throws IllegalArgumentException if an event exceeds the maximum size
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
				throw new IllegalArgumentException(
						"Event exceeds the maximum size of " + this.maxEventBytes + " bytes");
			}
		}
		return events;
	}

	/**
	 * Return whether the stream received so far ends with a complete event.
	 * @return false if an event has been received in part
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
	 * A complete event including the terminating empty line.
	 *
	 * @param bytes the event as the server sent it
	 * @param id the id of the event, {@link #NO_ID} if it has none
	 */
	public record Event(byte[] bytes, long id) {

		/** Value of the id of an event that has none. */
		public static final long NO_ID = -1;

	}

}
