package io.balsamlane.router.service;

import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.balsamlane.router.http.RequestIdClients;
import io.balsamlane.router.http.ResponseCorrelation;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;

/**
 * Attempts to run a call on one replica, up to the headers of the answer.
 */
final class ServiceAttempt {

	private final ReplicaTable replicas;

	private final ReplicaClient client;

	private final ReplicaTable.Reservation reservation;

	private final Consumer<Result> listener;

	private HttpClientRequest outgoing;

	private boolean requestEnded;

	private boolean ended;

	ServiceAttempt(ReplicaTable replicas, ReplicaClient client, ReplicaTable.Reservation reservation,
			Consumer<Result> listener) {
		this.replicas = replicas;
		this.client = client;
		this.reservation = reservation;
		this.listener = listener;
	}

	ReplicaTable.Reservation reservation() {
		return this.reservation;
	}

	void start(HttpServerRequest request, String requestId, String uri, CallBody body) {
		RequestOptions options = new RequestOptions().setMethod(request.method()).setURI(uri);
		options.putHeader(RequestIdClients.ID_HEADER, requestId);
		ForwardedHeaders.copyRequest(request.headers(), options.getHeaders());
		this.client.open(this.reservation.server().endpoint(), options).onSuccess((opened) -> {
			if (this.ended) {
				opened.reset();
				return;
			}
			if (!ResponseCorrelation.mayCarry(opened, requestId)) {
				opened.reset();
				opened.connection().close();
				start(request, requestId, uri, body);
				return;
			}
			this.outgoing = opened;
			opened.response().onComplete((answer) -> {
				if (answer.succeeded()) {
					handleResponse(answer.result());
				}
				else {
					handleFailure(answer.cause(), true);
				}
			});
			this.requestEnded = body.complete();
			body.sendTo(opened).onSuccess((sent) -> this.requestEnded = true).onFailure((cause) -> abort());
		}).onFailure((cause) -> handleFailure(cause, false));
	}

	private void handleResponse(HttpClientResponse response) {
		if (this.ended) {
			return;
		}
		response.pause();
		this.ended = true;
		if (response.statusCode() == 503 && "true".equals(response.getHeader("X-Leaving"))) {
			this.replicas.recordLeaving(this.reservation);
			response.resume();
			this.listener.accept(new Result.Leaving());
		}
		else {
			this.listener.accept(new Result.Answered(response));
		}
	}

	private void handleFailure(Throwable cause, boolean sent) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.replicas.recordFailure(this.reservation);
		if (sent && cause instanceof TimeoutException) {
			this.client.probe(this.reservation.server().endpoint());
		}
		this.listener.accept(new Result.Failed(sent, String.valueOf(cause.getMessage())));
	}

	/**
	 * Abandon the attempt. The listener is not called.
	 */
	void abandon() {
		if (!this.ended) {
			this.ended = true;
			this.replicas.recordAbandonment(this.reservation);
			if (this.outgoing != null) {
				abort();
			}
		}
	}

	private void abort() {
		if (!this.requestEnded) {
			// After the end of the response a reset would leave the connection open, and
			// the next request on it would be read as the rest of this one.
			this.outgoing.connection().close();
		}
		this.outgoing.reset();
	}

	/**
	 * Result of an attempt.
	 */
	sealed interface Result {

		/**
		 * The replica answered.
		 *
		 * @param response the answer, paused
		 */
		record Answered(HttpClientResponse response) implements Result {
		}

		/** The replica answered that it is leaving and did not run the call. */
		record Leaving() implements Result {
		}

		/**
		 * The replica closed the connection or made no progress.
		 *
		 * @param sent whether any byte of the call may have been sent
		 * @param reason description of the cause
		 */
		record Failed(boolean sent, String reason) implements Result {
		}

	}

}
