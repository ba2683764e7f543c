package io.balsamlane.router.store;

import java.util.Optional;

/**
 * Revision of the store together with the era in which it was given out. Written as one
 * number, a revision of a later era is higher than all revisions of earlier ones, so it
 * can serve as a fencing number across restorations of the store.
 *
 * @param era last bits of the number of the era, 0 if the store names none
 * @param number the revision within the era
 */
public record StoreRevision(long era, long number) {

	/** Bits of the revision within the era: a thousand writes a second for 34 years. */
	private static final int NUMBER_BITS = 40;

	private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

	/**
	 * The last bits of the era, so that the combined number is positive whatever the
	 * number of the first era is. A JSON parser that uses floating-point numbers reads it
	 * exactly up to era 8,191.
	 */
	private static final long ERA_MASK = (1L << 22) - 1;

	/**
	 * Create a revision of an era.
	 * @param era the era, empty if the store names none
	 * @param number the revision that the store gave out
	 * @return the revision
	 */
	public static StoreRevision of(Optional<StoreEra> era, long number) {
		return new StoreRevision(era.map(StoreEra::number).orElse(0L) & ERA_MASK, number);
	}

	/**
	 * Create a revision from its combined number.
	 * @param version the combined number
	 * @return the revision
	 */
	public static StoreRevision ofVersion(long version) {
		return new StoreRevision(version >> NUMBER_BITS, version & NUMBER_MASK);
	}

	/**
	 * Return the combined number.
	 * @return the number, which equals the revision if the store names no era
	 */
	public long version() {
		return (this.era << NUMBER_BITS) + this.number;
	}

}
