package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Name of a place: a data centre in which hosts and backend servers stand.
 *
 * @param value the name, not blank
 */
public record Place(String value) implements Comparable<Place> {

	public Place {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("Place needs a value that is not blank");
		}
	}

	/**
	 * Creates an id from its text.
	 * @param value the text, not blank
	 * @return the id
	 */
	public static Place of(String value) {
		return new Place(value);
	}

	@Override
	public int compareTo(Place other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
