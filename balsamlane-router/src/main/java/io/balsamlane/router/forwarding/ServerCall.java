package io.balsamlane.router.forwarding;

import java.util.Optional;
import java.util.function.Consumer;

import io.balsamlane.core.forwarding.AttemptOutcome;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.router.http.InformationalResponses;
import io.balsamlane.router.http.ResponseBodyReader;
import io.balsamlane.router.http.ResponseCorrelation;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;

/**
 * Sends one request to one backend server and receives the head of the response.
 * Distinguishes requests that were not sent, that the server refused, and that may have
 * run.
 */
final class ServerCall {

	/** Maximum size of the body of a refusal, which is not forwarded. */
	private static final int MAX_REFUSAL_BYTES = 16 << 10;

	/** Time limit for the body of a refusal: several round trips between regions. */
	private static final long REFUSAL_TIMEOUT_MILLIS = 500;

	private final ForwardingContext context;

	private final ListedServer server;

	private final RequestCaller caller;

	private final Consumer<AttemptOutcome> failureListener;

	private final Consumer<HttpClientResponse> responseListener;

	private HttpClientRequest outgoing;

	private boolean sent;

	private boolean ended;

	ServerCall(ForwardingContext context, ListedServer server, RequestCaller caller,
			Consumer<HttpClientResponse> responseListener, Consumer<AttemptOutcome> failureListener) {
		this.context = context;
		this.server = server;
		this.caller = caller;
		this.responseListener = responseListener;
		this.failureListener = failureListener;
	}

	/**
	 * Send a caller's request.
	 * @param request the caller's request
	 * @param requestId id of the request
	 * @param body body of the request
	 * @param remainingMillis time until the caller's deadline, in milliseconds
	 * @param attemptHeaders adds the headers of this attempt
	 */
	void start(HttpServerRequest request, String requestId, Buffer body, long remainingMillis,
			Consumer<MultiMap> attemptHeaders) {
		HttpMethod method = request.method();
		this.context.client().open(this.server, method, request.uri()).onComplete((opened) -> {
			if (opened.failed()) {
				fail(new AttemptOutcome.NotSent(String.valueOf(opened.cause().getMessage())));
				return;
			}
			this.outgoing = opened.result();
			if (this.ended) {
				this.outgoing.reset();
				return;
			}
			// The server may have left or asked for a pause while the connection was
			// opened.
			if (!this.context.state().isUsable(this.server)) {
				this.outgoing.reset();
				fail(new AttemptOutcome.NotSent("the server has become unusable"));
				return;
			}
			if (!this.caller.allowed()) {
				this.outgoing.reset();
				fail(new AttemptOutcome.NotSent("the configuration in force does not contain the caller's key"));
				return;
			}
			if (!ResponseCorrelation.mayCarry(this.outgoing, requestId)) {
				this.outgoing.reset();
				this.outgoing.connection().close();
				fail(new AttemptOutcome.NotSent("the connection may not carry the request"));
				return;
			}
			this.context.dialect()
				.writeRequestHeaders(request.headers(), this.outgoing.headers(), this.server.name(), remainingMillis);
			this.caller.writeHeaders(this.outgoing.headers());
			attemptHeaders.accept(this.outgoing.headers());
			this.outgoing.response().onComplete((response) -> {
				if (response.failed()) {
					fail(new AttemptOutcome.Broken(String.valueOf(response.cause().getMessage())));
				}
				else {
					headReceived(response.result(), requestId);
				}
			});
			InformationalResponses.limit(this.outgoing, () -> fail(new AttemptOutcome.Broken(
					"more than " + InformationalResponses.MAX_RESPONSES + " informational responses")));
			this.sent = true;
			if (body.length() > 0) {
				this.outgoing.end(body.copy());
			}
			else {
				this.outgoing.end();
			}
		});
	}

	private void headReceived(HttpClientResponse response, String requestId) {
		if (this.ended) {
			return;
		}
		Optional<String> defect = this.context.dialect().defect(response.statusCode(), response.headers(), requestId);
		if (defect.isPresent()) {
			this.outgoing.reset();
			fail(new AttemptOutcome.Broken(defect.get()));
			return;
		}
		this.context.state()
			.noticeReceived(this.server, this.context.dialect().notice(response.statusCode(), response.headers()));
		if (this.context.dialect().notRun(response.statusCode(), response.headers())) {
			if (this.context.dialect().misdirected(response.statusCode())) {
				this.context.state().serverLeft(this.server, "its address belongs to another server");
			}
			ResponseBodyReader.drain(response, MAX_REFUSAL_BYTES, REFUSAL_TIMEOUT_MILLIS);
			fail(new AttemptOutcome.NotRun(response.statusCode()));
			return;
		}
		this.ended = true;
		this.responseListener.accept(response);
	}

	private void fail(AttemptOutcome outcome) {
		if (!this.ended) {
			this.ended = true;
			this.failureListener.accept(outcome);
		}
	}

	/**
	 * Close the connection if the response is not complete, so that the server aborts the
	 * request. The listeners are not notified any more.
	 */
	void cancel() {
		this.ended = true;
		if (this.outgoing != null) {
			this.outgoing.reset();
		}
	}

	/**
	 * Cancel the call, see {@link #cancel()}.
	 * @param reason the reason
	 * @return an outcome that shows whether the server may have received any part of the
	 * request
	 */
	AttemptOutcome cancelled(String reason) {
		cancel();
		return this.sent ? new AttemptOutcome.Broken(reason) : new AttemptOutcome.NotSent(reason);
	}

}
