package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Name of a caller, a customer that sends requests.
 *
 * @param value the name, not blank
 */
public record CallerName(String value) implements Comparable<CallerName> {

	public CallerName {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("CallerName must not be blank");
		}
	}

	/**
	 * Create a name from its text.
	 * @param value the text, not blank
	 * @return the name
	 */
	public static CallerName of(String value) {
		return new CallerName(value);
	}

	@Override
	public int compareTo(CallerName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
