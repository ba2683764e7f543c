package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Name of a customer, as configured by the operators.
 *
 * @param value the name, not blank
 */
public record CustomerId(String value) {

	public CustomerId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("The name of a customer is blank");
		}
	}

	/**
	 * Create an id.
	 * @param value the name
	 * @return the id
	 */
	public static CustomerId of(String value) {
		return new CustomerId(value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
