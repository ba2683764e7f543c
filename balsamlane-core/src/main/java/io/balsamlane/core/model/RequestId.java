package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Identifier of a request, unique in the fleet.
 *
 * @param value the identifier, not blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

	public RequestId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("RequestId must not be blank");
		}
	}

	/**
	 * Create a request id from its text.
	 * @param value the text, not blank
	 * @return the request id
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
