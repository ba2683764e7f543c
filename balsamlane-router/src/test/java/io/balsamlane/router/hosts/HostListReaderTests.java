package io.balsamlane.router.hosts;

import java.util.stream.Stream;

import io.balsamlane.core.model.HostList;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against one odd entry that keeps a router from following the host list.
 */
class HostListReaderTests {

	private static final String VALID = """
			{"host":"%s","kind":"%s","name":"notes","place":"here","region":"here","address":"127.0.0.1","port":%s,
			"state":"live"}""";

	static Stream<String> oddEntries() {
		return Stream.of("null", "7", "\"text\"", "[]", "{}", "{\"kind\":7}",
				"{\"kind\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}",
				VALID.formatted("odd", "engine", 70_000), VALID.formatted("odd", "engine", "4295032831"),
				VALID.formatted("odd", "router", -1), VALID.formatted("odd", "engine", "1e999"),
				VALID.formatted("odd", "engine", "9".repeat(5000)), VALID.formatted("", "engine", 80));
	}

	@ParameterizedTest
	@MethodSource("oddEntries")
	void readsOtherEntriesBesideOddOne(String odd) {
		HostList hosts = HostListReader.parse(Buffer.buffer(
				"[" + VALID.formatted("a", "engine", 80) + "," + odd + "," + VALID.formatted("b", "router", 81) + "]"));
		assertThat(hosts.servers()).extracting((server) -> server.name().value()).containsExactly("a");
		assertThat(hosts.routers()).extracting((router) -> router.name().value()).containsExactly("b");
	}

}
