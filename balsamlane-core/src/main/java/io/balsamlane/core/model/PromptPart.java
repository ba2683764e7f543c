package io.balsamlane.core.model;

import java.util.Objects;

/**
 * Id of one part of a prompt. Prompts that contain the same part carry the same id.
 *
 * @param value the id, not blank
 */
public record PromptPart(String value) {

	public PromptPart {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("PromptPart must not be blank");
		}
	}

	/**
	 * Create an id from its text.
	 * @param value the text, not blank
	 * @return the id
	 */
	public static PromptPart of(String value) {
		return new PromptPart(value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
