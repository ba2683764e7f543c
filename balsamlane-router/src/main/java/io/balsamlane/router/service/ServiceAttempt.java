package io.balsamlane.router.service;

import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;

/**
 * One attempt to run a call on one replica, up to the headers of its answer.
 */
final class ServiceAttempt {

	private final ReplicaTable replicas;

	private final ReplicaClient client;

	private final ReplicaTable.Lease lease;

	private final Consumer<Result> listener;

	private HttpClientRequest outgoing;

	private boolean ended;

	ServiceAttempt(ReplicaTable replicas, ReplicaClient client, ReplicaTable.Lease lease, Consumer<Result> listener) {
		this.replicas = replicas;
		this.client = client;
		this.lease = lease;
		this.listener = listener;
	}

	ReplicaTable.Lease lease() {
		return this.lease;
	}

	void start(HttpServerRequest request, String requestId, String uri, CallBody body) {
		RequestOptions options = new RequestOptions().setMethod(request.method()).setURI(uri);
		options.putHeader("X-Request-Id", requestId);
		ForwardedHeaders.copyRequest(request.headers(), options.getHeaders());
		this.client.open(this.lease.server().endpoint(), options).onSuccess((opened) -> {
			if (this.ended) {
				opened.reset();
				return;
			}
			this.outgoing = opened;
			opened.response().onComplete((answer) -> {
				if (answer.succeeded()) {
					answered(answer.result());
				}
				else {
					failed(answer.cause(), true);
				}
			});
			body.sendTo(opened).onFailure((cause) -> opened.reset());
		}).onFailure((cause) -> failed(cause, false));
	}

	private void answered(HttpClientResponse response) {
		if (this.ended) {
			return;
		}
		response.pause();
		this.ended = true;
		if (response.statusCode() == 503 && "true".equals(response.getHeader("X-Leaving"))) {
			this.replicas.leaving(this.lease);
			response.resume();
			this.listener.accept(new Result.Leaving());
		}
		else {
			this.listener.accept(new Result.Answered(response));
		}
	}

	private void failed(Throwable cause, boolean sent) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.replicas.failed(this.lease);
		if (sent && cause instanceof TimeoutException) {
			this.client.probe(this.lease.server().endpoint());
		}
		this.listener.accept(new Result.Failed(sent, String.valueOf(cause.getMessage())));
	}

	/**
	 * Gives the attempt up; the listener hears nothing of it.
	 */
	void abandon() {
		if (!this.ended) {
			this.ended = true;
			this.replicas.abandoned(this.lease);
			if (this.outgoing != null) {
				this.outgoing.reset();
			}
		}
	}

	/**
	 * How an attempt ended.
	 */
	sealed interface Result {

		/**
		 * The replica answers.
		 *
		 * @param response its answer, paused
		 */
		record Answered(HttpClientResponse response) implements Result {
		}

		/** The replica said that it is leaving and did not run the call. */
		record Leaving() implements Result {
		}

		/**
		 * The replica broke the connection or made no progress.
		 *
		 * @param sent false if no byte of the call was sent
		 * @param reason the cause
		 */
		record Failed(boolean sent, String reason) implements Result {
		}

	}

}
