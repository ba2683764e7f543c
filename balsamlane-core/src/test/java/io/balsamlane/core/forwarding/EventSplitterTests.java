package io.balsamlane.core.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against truncated or merged events and wrong event ids.
 */
class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 4\r\ndata: b\r\n\r\n"
			+ "weight-versions: 3\nid: 5\ndata: c\n\n";

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Property(seed = "20261204")
	void splitsEventsIndependentlyOfChunkSize(@ForAll @IntRange(min = 1, max = 40) int size) {
		EventSplitter splitter = EventSplitter.create(1000);
		List<EventSplitter.Event> events = new ArrayList<>();
		for (int start = 0; start < STREAM.length(); start += size) {
			events.addAll(splitter.feed(bytes(STREAM.substring(start, Math.min(STREAM.length(), start + size)))));
		}
		assertThat(events).extracting(EventSplitter.Event::id).containsExactly(1L, 4L, 5L);
		StringBuilder joined = new StringBuilder();
		events.forEach((event) -> joined.append(new String(event.bytes(), StandardCharsets.UTF_8)));
		assertThat(joined).hasToString(STREAM);
		assertThat(splitter.atBoundary()).isTrue();
	}

	@Test
	void doesNotReturnIncompleteEvent() {
		EventSplitter splitter = EventSplitter.create(1000);
		assertThat(splitter.feed(bytes("id: 1\ndata: a\n"))).isEmpty();
		assertThat(splitter.atBoundary()).isFalse();
	}

	@Test
	void eventWithoutIdHasNoId() {
		assertThat(EventSplitter.create(1000).feed(bytes("data: a\n\n"))).extracting(EventSplitter.Event::id)
			.containsExactly(EventSplitter.Event.NO_ID);
	}

	@Test
	void rejectsEventAboveMaximumSize() {
		EventSplitter splitter = EventSplitter.create(10);
		assertThatIllegalArgumentException().isThrownBy(() -> splitter.feed(bytes("data: 0123456789")));
	}

}
