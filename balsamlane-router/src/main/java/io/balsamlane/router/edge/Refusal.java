package io.balsamlane.router.edge;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * Answer to a request that the router cannot complete, as problem details (RFC 9457).
 *
 * @param status HTTP status code
 * @param kind stable kind of the error
 * @param ran whether the request ran
 * @param detail what went wrong
 * @param remedy what the caller can do
 * @param retryAfterMillis time after which a new try makes sense; 0 if waiting does not
 * help
 */
record Refusal(int status, String kind, Ran ran, String detail, String remedy, int retryAfterMillis) {

	static Refusal of(int status, String kind, Ran ran, String detail, String remedy) {
		return new Refusal(status, kind, ran, detail, remedy, 0);
	}

	static Refusal withRetry(int status, String kind, Ran ran, String detail, int retryAfterMillis) {
		return new Refusal(status, kind, ran, detail, "Send the request again after the given time", retryAfterMillis);
	}

	static Refusal of(ErrorKind kind, Ran ran, String detail) {
		return new Refusal(kind.status(), kind.text(), ran, detail, kind.remedy(), 0);
	}

	static Refusal withRetry(ErrorKind kind, Ran ran, String detail, int retryAfterMillis) {
		return new Refusal(kind.status(), kind.text(), ran, detail, kind.remedy(), retryAfterMillis);
	}

	/**
	 * Creates a refusal of a kind that another router may have given.
	 * @param kind text of the kind
	 * @param ran whether the request ran
	 * @param detail what went wrong
	 * @param retryAfterMillis time after which a new try makes sense
	 * @return the refusal; status 503 if the kind is unknown here
	 */
	static Refusal ofText(String kind, Ran ran, String detail, int retryAfterMillis) {
		return ErrorKind.find(kind)
			.map((known) -> withRetry(known, ran, detail, retryAfterMillis))
			.orElseGet(() -> withRetry(503, kind, ran, detail, retryAfterMillis));
	}

	/**
	 * Returns the problem details. The member {@code error} repeats them in the shape
	 * that clients of the completion and chat interface read.
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

	void send(HttpServerResponse response) {
		if (response.ended() || response.closed() || response.headWritten()) {
			return;
		}
		if (this.retryAfterMillis > 0) {
			response.putHeader("Retry-After", Integer.toString((this.retryAfterMillis + 999) / 1000));
		}
		response.setStatusCode(this.status)
			.putHeader("content-type", "application/problem+json")
			.end(toJson().encode());
	}

}
