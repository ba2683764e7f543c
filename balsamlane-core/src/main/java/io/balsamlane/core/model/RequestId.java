package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Identity of a request, unique in the fleet.
 *
 * @param value the name, not blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

	public RequestId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("RequestId needs a value that is not blank");
		}
	}

	/**
	 * Creates an id from its text.
	 * @param value the text, not blank
	 * @return the id
	 */
	public static RequestId of(String value) {
		return new RequestId(value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
