package io.balsamlane.router;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an error kind that is missing from the operations page.
 */
class OperationsPageTests {

	// Matches calls and constants that hold an error kind as a string literal: refusals,
	// errors of the operator port, routes and schedulers.
	private static final Pattern LITERAL = Pattern
		.compile("(?:\\.of\\(\\s*\\d+,|withRetry\\(\\s*\\d+,|error\\(\\s*\\d+,|Route\\.None\\(|refuse\\([\\w.]+,"
				+ "|setRefusalKind\\(|fail\\(|\"kind\",|return none\\(|static final String [A-Z_]+ =)"
				+ "\\s*\"([a-z]+(?:-[a-z]+)*)\"");

	private static final Pattern CONSTANT = Pattern.compile("^\\t([A-Z_]+)\\(\\d+,", Pattern.MULTILINE);

	// Literals that the scan finds although they are not error kinds: successful outcomes
	// and other string constants.
	private static final Set<String> NON_ERROR_LITERALS = Set.of("stored", "draining", "waiting", "model", "service",
			"scheduler", "caller", "no-request");

	@Test
	void everyErrorKindInTheCodeHasAnEntry() throws IOException {
		Set<String> kinds = new TreeSet<>();
		collectKinds(Path.of("src/main/java/io/balsamlane/router/edge"), kinds);
		collectKinds(Path.of("src/main/java/io/balsamlane/router/service"), kinds);
		collectKinds(Path.of("src/main/java/io/balsamlane/router/admin"), kinds);
		collectKinds(Path.of("src/main/java/io/balsamlane/router/decision"), kinds);
		collectKinds(Path.of("../balsamlane-core/src/main/java/io/balsamlane/core/routing"), kinds);
		collectKinds(Path.of("../balsamlane-core/src/main/java/io/balsamlane/core/scheduling"), kinds);
		kinds.removeAll(NON_ERROR_LITERALS);
		assertThat(kinds).as("kinds found by the scan")
			.contains("no-route", "wrong-key", "outcome-unknown", "deadline");
		String page = Files.readString(Path.of("../docs/OPERATIONS.md"));
		assertThat(kinds.stream().filter((kind) -> !page.contains("\n| `" + kind + "` |")))
			.as("error kinds without an entry in docs/OPERATIONS.md")
			.isEmpty();
	}

	private static void collectKinds(Path directory, Set<String> kinds) throws IOException {
		try (Stream<Path> files = Files.walk(directory)) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".java")).toList()) {
				String source = Files.readString(file);
				Matcher literal = LITERAL.matcher(source);
				while (literal.find()) {
					kinds.add(literal.group(1));
				}
				if (file.endsWith("ErrorKind.java")) {
					Matcher constant = CONSTANT.matcher(source);
					while (constant.find()) {
						kinds.add(constant.group(1).toLowerCase(Locale.ROOT).replace('_', '-'));
					}
				}
			}
		}
	}

}
