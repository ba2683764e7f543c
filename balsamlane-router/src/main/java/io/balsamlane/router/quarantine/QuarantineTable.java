package io.balsamlane.router.quarantine;

import java.util.List;

import io.balsamlane.schema.QuarantineEntry;
import io.balsamlane.schema.QuarantineSync;

/**
 * Quarantines that are in force on one router. Confined to one event loop.
 */
public interface QuarantineTable {

	/**
	 * Return all quarantines in force.
	 * @return the quarantines with their remaining times
	 */
	QuarantineSync entries();

	/**
	 * Apply quarantines that another router decided on or that were stored.
	 * @param entries the quarantines
	 * @param source their origin, for the log
	 */
	void apply(List<QuarantineEntry> entries, String source);

}
