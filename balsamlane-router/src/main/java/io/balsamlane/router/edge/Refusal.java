package io.balsamlane.router.edge;

import java.util.Locale;
import java.util.function.IntFunction;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * Error response to a request that cannot be completed, as problem details (RFC 9457).
 *
 * @param status HTTP status code
 * @param kind stable kind of the error
 * @param ran whether the request ran
 * @param detail what went wrong
 * @param remedy what the caller can do
 * @param retryAfterMillis time after which the request can be retried, in milliseconds; 0
 * if waiting does not help
 */
public record Refusal(int status, String kind, Ran ran, String detail, String remedy, int retryAfterMillis) {

	private static final int UNAUTHORIZED = 401;

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	/**
	 * Create an error response without a retry time.
	 * @param status the HTTP status code
	 * @param kind the stable kind of the error
	 * @param ran whether the request ran
	 * @param detail what went wrong
	 * @param remedy what the caller can do
	 * @return the error response
	 */
	public static Refusal of(int status, String kind, Ran ran, String detail, String remedy) {
		return new Refusal(status, kind, ran, detail, remedy, 0);
	}

	/**
	 * Create an error response that asks the caller to retry after the given time.
	 * @param status the HTTP status code
	 * @param kind the stable kind of the error
	 * @param ran whether the request ran
	 * @param detail what went wrong
	 * @param retryAfterMillis the time, in milliseconds
	 * @return the error response
	 */
	public static Refusal withRetry(int status, String kind, Ran ran, String detail, int retryAfterMillis) {
		return new Refusal(status, kind, ran, detail, "Send the request again after the given time", retryAfterMillis);
	}

	/**
	 * Create an error response with the status and remedy of its kind.
	 * @param kind the kind of the error
	 * @param ran whether the request ran
	 * @param detail what went wrong
	 * @return the error response
	 */
	public static Refusal of(ErrorKind kind, Ran ran, String detail) {
		return new Refusal(kind.status(), kind.text(), ran, detail, kind.remedy(), 0);
	}

	/**
	 * Create an error response with the status and remedy of its kind that asks the
	 * caller to retry after the given time.
	 * @param kind the kind of the error
	 * @param ran whether the request ran
	 * @param detail what went wrong
	 * @param retryAfterMillis the time, in milliseconds
	 * @return the error response
	 */
	public static Refusal withRetry(ErrorKind kind, Ran ran, String detail, int retryAfterMillis) {
		return new Refusal(kind.status(), kind.text(), ran, detail, kind.remedy(), retryAfterMillis);
	}

	/**
	 * Create the error response to a request that crashes backend servers. It has no
	 * retry time, because waiting does not help.
	 * @param ran whether the request ran; if it may have, the status promises nothing
	 * @return the error response
	 */
	public static Refusal quarantined(Ran ran) {
		return of((ran == Ran.NO) ? UNAVAILABLE : BAD_GATEWAY, ErrorKind.QUARANTINED.text(), ran,
				"backend servers crashed while they ran this request or one with the same prompt part",
				ErrorKind.QUARANTINED.remedy());
	}

	/**
	 * Create an error response from a kind that another router may have sent.
	 * @param kind text of the kind
	 * @param ran whether the request ran
	 * @param detail what went wrong
	 * @param retryAfterMillis time after which the request can be retried, in
	 * milliseconds
	 * @return the error response; its status is 503 if the kind is unknown to this router
	 */
	static Refusal ofKind(String kind, Ran ran, String detail, int retryAfterMillis) {
		return ErrorKind.find(kind)
			.map((known) -> withRetry(known, ran, detail, retryAfterMillis))
			.orElseGet(() -> withRetry(503, kind, ran, detail, retryAfterMillis));
	}

	/**
	 * Return the problem details. The member {@code error} repeats them in the format
	 * that clients of the completion and chat API expect.
	 * @return the JSON object
	 */
	JsonObject toJson() {
		return new JsonObject().put("type", "urn:balsamlane:" + this.kind)
			.put("title", this.kind)
			.put("status", this.status)
			.put("detail", this.detail)
			.put("kind", this.kind)
			.put("ran", this.ran.toString())
			.put("remedy", this.remedy)
			.put("error", toErrorJson());
	}

	JsonObject toErrorJson() {
		return new JsonObject().put("message", this.detail + ". " + this.remedy)
			.put("type", (this.status < 500) ? "invalid_request_error" : "server_error")
			.put("code", this.kind)
			.putNull("param")
			.put("kind", this.kind)
			.put("ran", this.ran.toString())
			.put("remedy", this.remedy);
	}

	/**
	 * Send the error response unless a response has been started.
	 * @param response the response to complete
	 */
	public void send(HttpServerResponse response) {
		send(response, (millis) -> Integer.toString((millis + 999) / 1000));
	}

	/**
	 * Send the error response with fractions of a second in {@code Retry-After}, unless a
	 * response has been started.
	 * @param response the response to complete
	 */
	public void sendWithFractionalRetryAfter(HttpServerResponse response) {
		send(response, (millis) -> String.format(Locale.ROOT, "%.3f", millis / 1000.0));
	}

	private void send(HttpServerResponse response, IntFunction<String> retryAfter) {
		if (response.ended() || response.closed() || response.headWritten()) {
			return;
		}
		if (this.retryAfterMillis > 0) {
			response.putHeader("Retry-After", retryAfter.apply(this.retryAfterMillis));
		}
		if (this.status == UNAUTHORIZED) {
			// Required by RFC 9110, section 15.5.2.
			response.putHeader("WWW-Authenticate", "Bearer");
		}
		response.setStatusCode(this.status)
			.putHeader("content-type", "application/problem+json")
			.end(toJson().encode());
	}

}
