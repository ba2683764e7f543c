package io.balsamlane.router.store;

import java.util.Optional;

/**
 * Number of times that the store has been restored from a copy. A restored store has lost
 * its latest writes and gives out their revisions again, so revisions, leases and answers
 * of different eras cannot be compared.
 *
 * @param number number of the era, which rises with each restoration
 */
public record StoreEra(long number) implements Comparable<StoreEra> {

	private static final int MAX_DIGITS = 18;

	/**
	 * Parse the value of a header.
	 * @param text the value, null if the header is missing
	 * @return the era, empty if the text is not a decimal number
	 */
	public static Optional<StoreEra> parse(String text) {
		boolean valid = text != null && !text.isEmpty() && text.length() <= MAX_DIGITS
				&& text.chars().allMatch((digit) -> digit >= '0' && digit <= '9');
		return valid ? Optional.of(new StoreEra(Long.parseLong(text))) : Optional.empty();
	}

	@Override
	public int compareTo(StoreEra other) {
		return Long.compare(this.number, other.number);
	}

	@Override
	public String toString() {
		return Long.toString(this.number);
	}

}
