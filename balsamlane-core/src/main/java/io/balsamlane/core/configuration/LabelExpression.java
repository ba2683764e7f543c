package io.balsamlane.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Condition on labels, such as {@code service = draft-service, caller in (a, b), !old}.
 * <p>
 * An expression is a comma-separated list of terms that must all hold. An empty
 * expression matches any labels.
 */
public final class LabelExpression {

	private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._/-]*";

	private static final Pattern TERM = Pattern.compile("\\s*(?:(?<absent>!\\s*" + NAME + ")|(?<key>" + NAME
			+ ")(?:\\s+(?<set>in|notin)\\s*\\((?<values>[^()]*)\\)|\\s*(?<equality>!=|==|=)\\s*(?<value>" + NAME
			+ "))?)\\s*(?:,|$)");

	private final String text;

	private final List<Term> terms;

	private LabelExpression(String text, List<Term> terms) {
		this.text = text;
		this.terms = List.copyOf(terms);
	}

	/**
	 * Parse an expression.
	 * @param text the text to parse
	 * @return the parsed expression
	 * @throws IllegalArgumentException if the text is not a valid expression; the message
	 * contains the position and the expected syntax
	 */
	public static LabelExpression parse(String text) {
		Objects.requireNonNull(text, "text");
		List<Term> terms = new ArrayList<>();
		Matcher matcher = TERM.matcher(text);
		int position = 0;
		while (position < text.length() && !text.substring(position).isBlank()) {
			if (!matcher.find(position) || matcher.start() != position) {
				throw new IllegalArgumentException("Expression \"" + text + "\" is invalid at character "
						+ (position + 1)
						+ "; use terms such as key = value, key != value, key in (a, b), key notin (a, b), key, !key");
			}
			terms.add(term(matcher));
			position = matcher.end();
		}
		return new LabelExpression(text.trim(), terms);
	}

	private static Term term(Matcher matcher) {
		if (matcher.group("absent") != null) {
			return new Term(matcher.group("absent").substring(1).trim(), Operator.ABSENT, Set.of());
		}
		String key = matcher.group("key");
		if (matcher.group("set") != null) {
			Set<String> values = Stream.of(matcher.group("values").split(","))
				.map(String::trim)
				.filter((value) -> !value.isEmpty())
				.collect(Collectors.toUnmodifiableSet());
			return new Term(key, matcher.group("set").equals("in") ? Operator.IN : Operator.NOT_IN, values);
		}
		if (matcher.group("equality") != null) {
			Operator operator = matcher.group("equality").equals("!=") ? Operator.NOT_IN : Operator.IN;
			return new Term(key, operator, Set.of(matcher.group("value")));
		}
		return new Term(key, Operator.PRESENT, Set.of());
	}

	/**
	 * Return whether the labels match the expression.
	 * @param labels the labels
	 * @return {@code true} if every term holds
	 */
	public boolean matches(Map<String, String> labels) {
		for (Term term : this.terms) {
			if (!term.matches(labels)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Return the terms that do not hold for the labels.
	 * @param labels the labels
	 * @return the failed terms as text; empty if the labels match
	 */
	public List<String> failedTerms(Map<String, String> labels) {
		return this.terms.stream().filter((term) -> !term.matches(labels)).map(Term::toString).toList();
	}

	/**
	 * Return an expression that consists only of the terms on some keys.
	 * @param keys the predicate that accepts these keys
	 * @return the restricted expression
	 */
	public LabelExpression restrictedTo(Predicate<String> keys) {
		List<Term> kept = this.terms.stream().filter((term) -> keys.test(term.key())).toList();
		return new LabelExpression(kept.stream().map(Term::toString).collect(Collectors.joining(", ")), kept);
	}

	/**
	 * Return the values of which a label must have one.
	 * @param key key of the label
	 * @return the values of the first term {@code key = value} or {@code key in (...)},
	 * or empty if there is no such term
	 */
	public Optional<Set<String>> requiredValues(String key) {
		return this.terms.stream()
			.filter((term) -> term.key().equals(key) && term.operator() == Operator.IN)
			.map(Term::values)
			.findFirst();
	}

	@Override
	public String toString() {
		return this.text;
	}

	private enum Operator {

		IN, NOT_IN, PRESENT, ABSENT

	}

	private record Term(String key, Operator operator, Set<String> values) {

		boolean matches(Map<String, String> labels) {
			String value = labels.get(this.key);
			return switch (this.operator) {
				case IN -> value != null && this.values.contains(value);
				case NOT_IN -> value == null || !this.values.contains(value);
				case PRESENT -> value != null;
				case ABSENT -> value == null;
			};
		}

		@Override
		public String toString() {
			String joined = this.values.stream().sorted().collect(Collectors.joining(", ", "(", ")"));
			return switch (this.operator) {
				case IN -> this.key + " in " + joined;
				case NOT_IN -> this.key + " notin " + joined;
				case PRESENT -> this.key;
				case ABSENT -> "!" + this.key;
			};
		}

	}

}
