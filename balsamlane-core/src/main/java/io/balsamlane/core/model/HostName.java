package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Name of a host, unique in the fleet.
 *
 * @param value the name, not blank
 */
public record HostName(String value) implements Comparable<HostName> {

	public HostName {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("HostName must not be blank");
		}
	}

	/**
	 * Create a name from its text.
	 * @param value the text, not blank
	 * @return the name
	 */
	public static HostName of(String value) {
		return new HostName(value);
	}

	@Override
	public int compareTo(HostName other) {
		return this.value.compareTo(other.value);
	}

	// Explicit, because the generated methods call method handles, which the C1 compiler
	// does not inline.
	@Override
	public boolean equals(Object other) {
		return other instanceof HostName that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
