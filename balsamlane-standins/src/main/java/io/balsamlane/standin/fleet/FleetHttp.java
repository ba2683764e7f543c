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
 * Blocking HTTP client for tests and measurements.
 */
public final class FleetHttp {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private FleetHttp() {
	}

	/**
	 * Create a client.
	 * @return the client
	 */
	public static FleetHttp create() {
		return new FleetHttp();
	}

	/**
	 * Send a request and wait for the response.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param body request body, empty for none
	 * @param headers additional headers
	 * @return the response; if the request failed or was interrupted, the status is 0 and
	 * the body contains the cause
	 */
	public Answer send(String method, String url, String body, Map<String, String> headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url)).timeout(REQUEST_TIMEOUT);
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
	 * Send a GET request.
	 * @param url the URL
	 * @return the response
	 */
	public Answer get(String url) {
		return send("GET", url, "", Map.of());
	}

	/**
	 * Response to a request.
	 *
	 * @param status the HTTP status code, 0 if the request failed or was interrupted
	 * @param body response body, or the cause of the failure
	 */
	public record Answer(int status, String body) {
	}

}
