package io.balsamlane.router.forwarding;

import java.util.Optional;
import java.util.function.Consumer;

import io.balsamlane.core.forwarding.AttemptOutcome;
import io.balsamlane.core.forwarding.ListedServer;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;

/**
 * One request to one server, up to the head of its answer. Tells what has not been sent,
 * what the server refused, and what may have run.
 */
final class ServerCall {

	private final ForwardingParts parts;

	private final ListedServer server;

	private final Consumer<AttemptOutcome> failed;

	private final Consumer<HttpClientResponse> answered;

	private HttpClientRequest outgoing;

	private boolean sent;

	private boolean ended;

	ServerCall(ForwardingParts parts, ListedServer server, Consumer<HttpClientResponse> answered,
			Consumer<AttemptOutcome> failed) {
		this.parts = parts;
		this.server = server;
		this.answered = answered;
		this.failed = failed;
	}

	/**
	 * Sends a caller's request.
	 * @param request the caller's request
	 * @param requestId its id
	 * @param body its body
	 * @param remainingMillis time until the caller gives up
	 * @param marks adds the headers of this attempt
	 */
	void start(HttpServerRequest request, String requestId, Buffer body, long remainingMillis,
			Consumer<MultiMap> marks) {
		HttpMethod method = request.method();
		this.parts.client().open(this.server, method, request.uri()).onComplete((opened) -> {
			if (opened.failed()) {
				fail(new AttemptOutcome.NotSent(String.valueOf(opened.cause().getMessage())));
				return;
			}
			this.outgoing = opened.result();
			if (this.ended) {
				this.outgoing.reset();
				return;
			}
			this.parts.dialect()
				.request(request.headers(), this.outgoing.headers(), this.server.name(), remainingMillis);
			marks.accept(this.outgoing.headers());
			this.outgoing.response().onComplete((answer) -> {
				if (answer.failed()) {
					fail(new AttemptOutcome.Broken(String.valueOf(answer.cause().getMessage())));
				}
				else {
					head(answer.result(), requestId);
				}
			});
			this.sent = true;
			if (body.length() > 0) {
				this.outgoing.end(body.copy());
			}
			else {
				this.outgoing.end();
			}
		});
	}

	private void head(HttpClientResponse answer, String requestId) {
		if (this.ended) {
			return;
		}
		if (this.parts.dialect().notRun(answer.statusCode(), answer.headers())) {
			if (this.parts.dialect().misdirected(answer.statusCode())) {
				this.parts.state().serverLeft(this.server, "another server has its address");
			}
			fail(new AttemptOutcome.NotRun(answer.statusCode()));
			return;
		}
		Optional<String> defect = this.parts.dialect().defect(answer.statusCode(), answer.headers(), requestId);
		if (defect.isPresent()) {
			this.outgoing.reset();
			fail(new AttemptOutcome.Broken(defect.get()));
			return;
		}
		this.ended = true;
		this.answered.accept(answer);
	}

	private void fail(AttemptOutcome outcome) {
		if (!this.ended) {
			this.ended = true;
			this.failed.accept(outcome);
		}
	}

	/**
	 * Closes the connection, so that the server drops the request. The listeners hear
	 * nothing more.
	 */
	void cancel() {
		this.ended = true;
		if (this.outgoing != null) {
			this.outgoing.reset();
		}
	}

	/**
	 * Ends the call like {@link #cancel()}.
	 * @param reason the cause
	 * @return whether the server can have got a byte of the request
	 */
	AttemptOutcome cancelled(String reason) {
		cancel();
		return this.sent ? new AttemptOutcome.Broken(reason) : new AttemptOutcome.NotSent(reason);
	}

}
