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
 * Selects the headers that pass through the router: all but those of one connection (RFC
 * 9110, section 7.6.1) and the caller's credentials.
 */
public final class ForwardedHeaders {

	private static final Set<String> OF_CONNECTION = Set.of("connection", "proxy-connection", "keep-alive",
			"transfer-encoding", "te", "trailer", "upgrade", "expect");

	private static final Set<String> OF_ROUTER = Set.of("host", "authorization", "x-request-id");

	private ForwardedHeaders() {
	}

	static void copyRequest(MultiMap from, MultiMap to) {
		copyEndToEnd(from, to, (name) -> !OF_ROUTER.contains(name));
	}

	static void copyAnswer(MultiMap from, MultiMap to) {
		copyEndToEnd(from, to, (name) -> !name.equals("x-request-id"));
	}

	/**
	 * Copies the headers that do not concern one connection only.
	 * @param from the headers
	 * @param to receives the headers
	 * @param selected selects among them by the name in lower case
	 */
	public static void copyEndToEnd(MultiMap from, MultiMap to, Predicate<String> selected) {
		Set<String> named = namedByConnection(from);
		from.forEach((header) -> {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (passes(name, named) && selected.test(name)) {
				to.add(header.getKey(), header.getValue());
			}
		});
	}

	/**
	 * Selects the headers that are recorded with an answer.
	 * @param from the answer's headers
	 * @return the headers; several of one name are joined
	 */
	static Map<String, String> recorded(MultiMap from) {
		Set<String> named = namedByConnection(from);
		Map<String, String> kept = new TreeMap<>();
		from.forEach((header) -> {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (passes(name, named) && !name.equals("content-length") && !name.equals("x-request-id")) {
				kept.merge(name, header.getValue(), (first, second) -> first + ", " + second);
			}
		});
		return kept;
	}

	private static boolean passes(String name, Set<String> named) {
		return !OF_CONNECTION.contains(name) && !named.contains(name);
	}

	private static Set<String> namedByConnection(MultiMap headers) {
		return headers.getAll("connection")
			.stream()
			.flatMap((value) -> Arrays.stream(value.split(",")))
			.map((name) -> name.trim().toLowerCase(Locale.ROOT))
			.collect(Collectors.toSet());
	}

}
