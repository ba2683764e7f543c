package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Name of a place: a data centre in which hosts and backend servers stand.
 *
 * @param value the name, not blank
 */
public record Place(String value) {

	public Place {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("A place needs a name that is not blank");
		}
	}

	/**
	 * Creates the place with the given name.
	 * @param value the name, not blank
	 * @return the place
	 */
	public static Place of(String value) {
		return new Place(value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
