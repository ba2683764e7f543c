package io.balsamlane.router.timeline;

import io.balsamlane.schema.EventKind;

/**
 * Hears of each event of this process, on the thread that records it.
 */
@FunctionalInterface
public interface TimelineListener {

	/**
	 * Hears of an event.
	 * @param kind what happened
	 * @param requestId the request, empty if none
	 * @param detail free text
	 */
	void recorded(EventKind kind, String requestId, String detail);

}
