package io.balsamlane.router.http;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;

/**
 * Framing of the responses of backend servers.
 */
public final class ResponseFraming {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d[^\\r\\n]*+(\\r\\n|\\r?\\z)");

	private ResponseFraming() {
	}

	/**
	 * Return whether the body of a response is delimited by the end of its connection
	 * only. An error of the connection shows that it is truncated; other connections may
	 * already carry the next request when their errors are reported.
	 * @param response the response
	 * @return true if the response has neither a length nor chunks
	 */
	public static boolean endsWithConnection(HttpClientResponse response) {
		return !response.headers().contains(HttpHeaders.CONTENT_LENGTH)
				&& !response.headers().contains(HttpHeaders.TRANSFER_ENCODING);
	}

	/**
	 * Return whether a part of a body that is delimited by the end of its connection
	 * contains the status line of a second response.
	 * @param response the response
	 * @param body a part of its body
	 * @return true if a second response follows the first one
	 */
	public static boolean containsSecondResponse(HttpClientResponse response, byte[] body) {
		return endsWithConnection(response)
				&& STATUS_LINE.matcher(new String(body, StandardCharsets.ISO_8859_1)).find();
	}

}
