package io.balsamlane.cli;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against unintended changes of the help, and against a wrong command line that
 * ends in a stack trace or with the wrong exit code.
 */
class ControlMainTests {

	@Test
	void everyCommandHasHelpWithAnExample() {
		List<String> commands = List.of("get", "describe", "diff", "apply", "history", "rollback", "explain", "status",
				"drain", "timeline");
		String texts = Stream.concat(Stream.of("--help"), commands.stream().map((command) -> command + " --help"))
			.map((line) -> "$ balsamlanectl " + line + "\n" + TestFleet.run(Map.of(), line.split(" ")).stable())
			.collect(Collectors.joining("\n"));
		Approvals.verify(texts);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			                                       | 2 | usage
			fetch                                  | 2 | Unknown command fetch
			--file a.ini apply                     | 2 | Unknown option --file before the command
			get --colour red                       | 2 | Unrecognized option: --colour
			get -o yaml                            | 2 | use one of text, json, ini
			status -o ini                          | 2 | use one of text, json
			status now                             | 2 | Unexpected argument now
			get engine                             | 2 | use pool, service, selector or caller
			describe pool                          | 2 | needs a kind and a name
			rollback                               | 2 | needs the revision to restore
			apply                                  | 2 | use --file FILE
			apply --file /missing/objects.ini      | 2 | cannot be read
			status --server localhost              | 2 | use http://ADDRESS:PORT
			drain --server http://a:1,http://b:1   | 2 | name exactly one
			get --server http://127.0.0.1:1        | 3 | No router answered
			status --server http://127.0.0.1:1     | 3 | No router answered
			timeline --from yesterday              | 2 | use a time such as
			""")
	void wrongUseNamesTheRemedy(String line, int code, String message) {
		String[] args = (line != null) ? line.split(" +") : new String[0];
		boolean needsRouter = List.of(args).contains("apply");
		TestFleet.Run run = needsRouter ? runWithRouter(args)
				: TestFleet.run(Map.of("BALSAMLANE_SERVER", "http://127.0.0.1:1"), args);
		assertThat(run.code()).as(run.err()).isEqualTo(code);
		assertThat(run.err()).contains(message).doesNotContain("Exception").doesNotContain("\tat ");
	}

	private static TestFleet.Run runWithRouter(String[] args) {
		try (TestFleet fleet = TestFleet.start()) {
			return fleet.run(args);
		}
	}

}
