package io.balsamlane.router.timeline;

import io.balsamlane.schema.EventKind;

/**
 * Listener that is notified of each event of this process, on the thread that records it.
 */
@FunctionalInterface
public interface TimelineListener {

	/**
	 * Handle a recorded event.
	 * @param kind the kind of event
	 * @param requestId the request id, empty if none
	 * @param detail free text
	 */
	void recorded(EventKind kind, String requestId, String detail);

}
