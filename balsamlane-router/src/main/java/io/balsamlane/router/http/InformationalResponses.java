package io.balsamlane.router.http;

import io.vertx.core.http.HttpClientRequest;

/**
 * Limits the informational responses (status 1xx) that precede the final response; a
 * server that sends more does not respond.
 */
public final class InformationalResponses {

	/** Maximum number of informational responses to one request. */
	public static final int MAX_RESPONSES = 8;

	private final HttpClientRequest request;

	private final Runnable exceeded;

	private int responses;

	private InformationalResponses(HttpClientRequest request, Runnable exceeded) {
		this.request = request;
		this.exceeded = exceeded;
	}

	/**
	 * Limit the informational responses to a request that has not been sent yet. The
	 * request is reset when the server sends more.
	 * @param request the request
	 * @param exceeded called once when the limit is exceeded
	 */
	public static void limit(HttpClientRequest request, Runnable exceeded) {
		InformationalResponses counter = new InformationalResponses(request, exceeded);
		request.continueHandler((ignored) -> counter.count());
		request.earlyHintsHandler((ignored) -> counter.count());
	}

	private void count() {
		if (++this.responses == MAX_RESPONSES + 1) {
			this.request.reset();
			this.exceeded.run();
		}
	}

}
