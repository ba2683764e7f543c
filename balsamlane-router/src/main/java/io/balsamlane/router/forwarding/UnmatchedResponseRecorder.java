package io.balsamlane.router.forwarding;

import java.util.Locale;
import java.util.function.Consumer;

import io.balsamlane.router.http.UnmatchedResponse;

/**
 * Logs and counts responses that cannot be attributed to a request.
 */
public final class UnmatchedResponseRecorder implements Consumer<UnmatchedResponse> {

	private final DecisionLog log;

	private final ForwardingMetrics metrics;

	private UnmatchedResponseRecorder(DecisionLog log, ForwardingMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Create a recorder.
	 * @param log log of the responses
	 * @param metrics counts the responses by their reason
	 * @return the recorder
	 */
	public static UnmatchedResponseRecorder create(DecisionLog log, ForwardingMetrics metrics) {
		return new UnmatchedResponseRecorder(log, metrics);
	}

	@Override
	public void accept(UnmatchedResponse response) {
		this.log.log("response-unmatched", response.expectedId().orElse(""), "server", response.server(), "reason",
				response.reason(), "status", response.status(), "received", response.receivedId().orElse(""),
				"connection_requests", response.requests());
		this.metrics.count("responses_unmatched_total", response.reason().name().toLowerCase(Locale.ROOT));
	}

}
