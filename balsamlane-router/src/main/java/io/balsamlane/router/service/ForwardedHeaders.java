package io.balsamlane.router.service;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.vertx.core.MultiMap;

/**
 * Selects the headers that the router forwards: all except hop-by-hop headers (RFC 9110,
 * section 7.6.1), the caller's credentials and headers that the router sets itself.
 */
public final class ForwardedHeaders {

	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "proxy-connection", "keep-alive",
			"transfer-encoding", "te", "trailer", "upgrade", "expect");

	private static final Set<String> ROUTER_HEADERS = Set.of("host", "authorization", "x-request-id");

	private ForwardedHeaders() {
	}

	static void copyRequest(MultiMap from, MultiMap to) {
		copyEndToEnd(from, to, (name) -> !ROUTER_HEADERS.contains(name));
	}

	static void copyResponse(MultiMap from, MultiMap to) {
		copyEndToEnd(from, to, (name) -> !name.equals("x-request-id"));
	}

	/**
	 * Copy the end-to-end headers.
	 * @param from the headers to copy from
	 * @param to the headers to copy to
	 * @param selected tests the name, in lower case, of each header to copy
	 */
	public static void copyEndToEnd(MultiMap from, MultiMap to, Predicate<String> selected) {
		Set<String> connectionHeaders = namedByConnection(from);
		from.forEach((header) -> {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (isEndToEnd(name, connectionHeaders) && selected.test(name)) {
				to.add(header.getKey(), header.getValue());
			}
		});
	}

	/**
	 * Return the headers that are recorded with an answer.
	 * @param from the headers of the answer
	 * @return the headers by name in lower case; the values of headers with the same name
	 * are joined by commas
	 */
	static Map<String, String> toRecordedHeaders(MultiMap from) {
		Set<String> connectionHeaders = namedByConnection(from);
		Map<String, String> recorded = new TreeMap<>();
		from.forEach((header) -> {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (isEndToEnd(name, connectionHeaders) && !name.equals("content-length") && !name.equals("x-request-id")) {
				recorded.merge(name, header.getValue(), (first, second) -> first + ", " + second);
			}
		});
		return recorded;
	}

	private static boolean isEndToEnd(String name, Set<String> connectionHeaders) {
		return !HOP_BY_HOP_HEADERS.contains(name) && !connectionHeaders.contains(name);
	}

	private static Set<String> namedByConnection(MultiMap headers) {
		return headers.getAll("connection")
			.stream()
			.flatMap((value) -> Arrays.stream(value.split(",")))
			.map((name) -> name.trim().toLowerCase(Locale.ROOT))
			.collect(Collectors.toSet());
	}

}
