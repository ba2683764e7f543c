package io.balsamlane.router.metrics;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.balsamlane.router.timeline.TimelineListener;
import io.balsamlane.schema.EventKind;

/**
 * Derives request metrics from the timeline events of this process, so that the code that
 * handles requests reports each event only once. This class is thread-safe.
 */
public final class RequestTracker implements TimelineListener {

	// Evicts the oldest requests, which removes those that end without an event.
	private static final int MAX_REQUESTS = 16_384;

	// Matches the detail of REQUEST_FINISHED, which contains the length of the answer.
	private static final Pattern TOKENS = Pattern.compile("(\\d{1,9}) tokens");

	private final RouterMetrics metrics;

	private final Map<String, Times> requests = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Times> eldest) {
			return size() > MAX_REQUESTS;
		}
	};

	private RequestTracker(RouterMetrics metrics) {
		this.metrics = metrics;
	}

	/**
	 * Create a tracker.
	 * @param metrics the metrics that receive times and outcomes
	 * @return the tracker
	 */
	public static RequestTracker create(RouterMetrics metrics) {
		return new RequestTracker(metrics);
	}

	@Override
	public void recorded(EventKind kind, String requestId, String detail) {
		switch (kind) {
			case REQUEST_ACCEPTED -> accepted(requestId, System.nanoTime());
			case FIRST_TOKEN_SENT -> firstToken(requestId, System.nanoTime());
			case REQUEST_FINISHED -> finished(requestId, detail, System.nanoTime());
			case CALL_COMPLETED -> ended(requestId, "completed");
			case REQUEST_CANCELLED -> ended(requestId, "cancelled");
			case REQUEST_REFUSED -> ended(requestId, detail);
			default -> {
			}
		}
	}

	private synchronized void accepted(String requestId, long nowNanos) {
		this.requests.put(requestId, new Times(nowNanos, 0));
	}

	private synchronized void firstToken(String requestId, long nowNanos) {
		Times times = this.requests.get(requestId);
		if (times != null) {
			this.requests.put(requestId, new Times(times.acceptedNanos(), nowNanos));
			this.metrics.firstTokenSent(nowNanos - times.acceptedNanos());
		}
	}

	private void finished(String requestId, String detail, long nowNanos) {
		Times times = ended(requestId, "completed");
		Matcher tokens = TOKENS.matcher(detail);
		if (times != null && times.firstTokenNanos() != 0 && tokens.matches()) {
			long intervals = Long.parseLong(tokens.group(1)) - 1;
			if (intervals > 0) {
				this.metrics.tokensSent((nowNanos - times.firstTokenNanos()) / intervals);
			}
		}
	}

	private Times ended(String requestId, String outcome) {
		this.metrics.requestEnded(outcome);
		synchronized (this) {
			return this.requests.remove(requestId);
		}
	}

	private record Times(long acceptedNanos, long firstTokenNanos) {
	}

}
