package io.balsamlane.router.edge;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Stable kinds of errors that are reported to callers, each with its HTTP status and
 * default remedy. The operator documentation has an entry for each kind.
 */
public enum ErrorKind {

	/** No resource has the path. */
	UNKNOWN_PATH(404, "Use /v1/chat/completions, /v1/completions or /services/NAME/PATH"),

	/** The path does not support the method. */
	WRONG_METHOD(405, "Use POST"),

	/** The input is not valid HTTP. */
	MALFORMED_HTTP(400, "Send a well-formed HTTP/1.1 or HTTP/2 request"),

	/** The headers are larger than {@code max_header_bytes}. */
	HEADERS_TOO_LARGE(431, "Send fewer or shorter headers"),

	/** The body is not a valid completion or chat request. */
	MALFORMED_REQUEST(400, "Send a JSON object in the completion or chat shape"),

	/** The body is larger than {@code max_model_body_bytes}. */
	BODY_TOO_LARGE(413, "Shorten the prompt, or ask an operator to raise max_model_body_bytes"),

	/** The body did not arrive within {@code body_timeout_millis}. */
	SLOW_REQUEST(408, "Send the whole body without pauses"),

	/** The caller read its response too slowly. */
	SLOW_CALLER(503, "Read the answer as fast as it arrives, or ask an operator to raise max_stream_buffer_bytes"),

	/** This router has {@code max_concurrent_requests} in progress. */
	TOO_MANY_REQUESTS(503, "Send the request again after the given time"),

	/** This router is shutting down. */
	SHUTTING_DOWN(503, "Send the request again over a new connection"),

	/** This router can reach neither the platform store nor another router. */
	ROUTER_ISOLATED(503, "Send the request again over a new connection"),

	/** No pool serves the model. */
	UNKNOWN_MODEL(404, "Check the name, or ask an operator to create a pool for the model"),

	/** No plain service has the name. */
	UNKNOWN_SERVICE(404, "Check the name, or ask an operator to create the service"),

	/** No selector allows the request to reach a live backend server. */
	NO_ROUTE(403, "Check the name, or ask an operator for access"),

	/** Every engine that the request may reach is leaving or has failed. */
	NO_ENGINE(503, "Send the request again after the given time"),

	/** The caller has reached its quota of requests or tokens. */
	QUOTA_EXCEEDED(429, "Send fewer requests, or ask an operator to raise the caller's quota"),

	/** No decode engine has enough memory for the prompt and {@code max_tokens}. */
	TOO_LARGE(413, "Shorten the prompt or lower max_tokens"),

	/** The first token would miss its latency target. */
	DEADLINE(503, "Send the request again after the given time"),

	/** The queue of the scheduling domain is full. */
	OVERLOADED(503, "Send the request again after the given time"),

	/** Engines failed in every attempt. */
	ATTEMPTS_EXHAUSTED(503, "Send the request again after the given time"),

	/** No configured route matches the host and path. */
	UNKNOWN_ROUTE(404, "Check host and path, or ask an operator to add a route"),

	/** This router has not yet received its configuration or list of servers. */
	NOT_CONFIGURED(503, "Send the request again after the given time"),

	/** The request has no API key, or one that identifies no customer. */
	UNKNOWN_KEY(401, "Send exactly one Authorization header with a valid API key, or ask an operator for one"),

	/** The request lacks a header that the platform requires. */
	MISSING_HEADER(400, "Send the request id that the platform requires"),

	/** No server of the service accepts requests. */
	NO_SERVER(503, "Send the request again after the given time"),

	/** Every server that was tried refused to run the request. */
	SERVERS_FULL(503, "Send the request again after the given time"),

	/**
	 * The server closed the connection or sent an invalid response; the request may have
	 * run.
	 */
	SERVER_BROKE(502, "Find out whether the request ran before it is sent again"),

	/** No response arrived within the time limit; the request may have run. */
	TIMED_OUT(504, "Find out whether the request ran before it is sent again"),

	/** Two backend servers crashed while they ran the request. */
	QUARANTINED(422, "Change the request: two backend servers died while they ran it");

	private final int status;

	private final String remedy;

	ErrorKind(int status, String remedy) {
		this.status = status;
		this.remedy = remedy;
	}

	/**
	 * Find a kind by its text.
	 * @param text the text, as in the field {@code kind} of a response
	 * @return the kind, empty if no constant has this text
	 */
	public static Optional<ErrorKind> find(String text) {
		return Stream.of(values()).filter((kind) -> kind.text().equals(text)).findFirst();
	}

	/**
	 * Return the kind as it is written in responses.
	 * @return the text, in lower case with hyphens
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Return the HTTP status.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Return the default advice to the caller.
	 * @return the remedy
	 */
	public String remedy() {
		return this.remedy;
	}

}
