package io.balsamlane.router.settings;

import java.util.stream.Collectors;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SettingsLoader}. Guards against a daemon that starts with unknown or
 * invalid settings, and against an error report that stops at the first error.
 */
class SettingsLoaderTests {

	private static final String VALID = """
			[node]
			host = router-1
			place = doto-a
			region = doto
			[store]
			url = http://127.0.0.1:9000
			[hosts]
			url = http://127.0.0.1:9001/v1/hosts
			""";

	@Test
	void reportsEveryErrorAtOnceInTheOrderOfTheFile() {
		Approvals.verify(errors("""
				stray = 1
				[node]
				place = doto-a
				region =
				address = 10.0.0.7
				host-name = router-1
				[store]
				url = nowhere
				call_timeout_millis = soon
				[stor]
				url = http://127.0.0.1:9000
				[edge]
				port = 70000
				port = 8080
				admin_port = 8082
				drain = 5
				a line of prose
				[peer]
				previous_key = old
				probe_millis = 100
				suspicion_millis = 50
				max_frame_bytes = 4096
				"""));
	}

	@Test
	void appliesDefaults() {
		assertThat(SettingsLoader.parse("a.ini", VALID)).isInstanceOfSatisfying(SettingsResult.Loaded.class,
				(loaded) -> assertThat(loaded.settings().getEdge().getPort()).isEqualTo(8080));
	}

	@ParameterizedTest
	@CsvSource({ "127.0.0.1, '', true", "127.8.8.8, '', true", "::1, '', true", "10.0.0.7, '', false",
			"0.0.0.0, '', false", "10.0.0.7, secret, true", "localhost, secret, false", "router.example, '', false" })
	void acceptsNonLoopbackAddressOnlyWithKey(String address, String key, boolean valid) {
		String text = VALID.replace("[store]", "address = " + address + "\n[store]") + "[peer]\nkey = " + key + "\n";
		assertThat(SettingsLoader.parse("a.ini", text) instanceof SettingsResult.Loaded).isEqualTo(valid);
	}

	private static String errors(String text) {
		SettingsResult.Invalid invalid = (SettingsResult.Invalid) SettingsLoader.parse("router.ini", text);
		return invalid.errors().stream().map(SettingsError::toString).collect(Collectors.joining("\n"));
	}

}
