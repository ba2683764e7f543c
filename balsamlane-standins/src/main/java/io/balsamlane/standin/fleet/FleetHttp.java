package io.balsamlane.standin.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Map;

/**
 * Blocking HTTP calls of tests.
 */
public final class FleetHttp {

	private static final Duration CALL_LIMIT = Duration.ofSeconds(30);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private FleetHttp() {
	}

	/**
	 * Creates a client.
	 * @return the client
	 */
	public static FleetHttp create() {
		return new FleetHttp();
	}

	/**
	 * Sends a request and waits for its answer.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param body body text, empty for none
	 * @param headers further headers
	 * @return the answer; status 0 and the cause as body if the connection failed
	 */
	public Answer send(String method, String url, String body, Map<String, String> headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url)).timeout(CALL_LIMIT);
		request.method(method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
		headers.forEach(request::header);
		try {
			HttpResponse<String> response = this.client.send(request.build(), BodyHandlers.ofString());
			return new Answer(response.statusCode(), response.body());
		}
		catch (IOException ex) {
			return new Answer(0, String.valueOf(ex.getMessage()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Answer(0, "interrupted");
		}
	}

	/**
	 * Reads a URL.
	 * @param url the URL
	 * @return the answer
	 */
	public Answer get(String url) {
		return send("GET", url, "", Map.of());
	}

	/**
	 * Answer of a call.
	 *
	 * @param status the HTTP status code, 0 if the connection failed
	 * @param body body text
	 */
	public record Answer(int status, String body) {
	}

}
