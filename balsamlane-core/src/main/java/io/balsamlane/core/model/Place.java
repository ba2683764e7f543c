package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Name of a place, a data centre in which hosts and backend servers run.
 *
 * @param value the name, not blank
 */
public record Place(String value) implements Comparable<Place> {

	public Place {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("Place must not be blank");
		}
	}

	/**
	 * Create a place from its text.
	 * @param value the text, not blank
	 * @return the place
	 */
	public static Place of(String value) {
		return new Place(value);
	}

	@Override
	public int compareTo(Place other) {
		return this.value.compareTo(other.value);
	}

	// Explicit, because the generated methods call method handles, which the C1 compiler
	// does not inline.
	@Override
	public boolean equals(Object other) {
		return other instanceof Place that && this.value.equals(that.value);
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
