package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Name of a backend server, which is an engine or a replica of a plain service.
 *
 * @param value the name, not blank
 */
public record ServerName(String value) implements Comparable<ServerName> {

	public ServerName {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("ServerName must not be blank");
		}
	}

	/**
	 * Create a name from its text.
	 * @param value the text, not blank
	 * @return the name
	 */
	public static ServerName of(String value) {
		return new ServerName(value);
	}

	@Override
	public int compareTo(ServerName other) {
		return this.value.compareTo(other.value);
	}

	// Explicit, because the generated methods call method handles, which the C1 compiler
	// does not inline.
	@Override
	public boolean equals(Object other) {
		return other instanceof ServerName that && this.value.equals(that.value);
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
