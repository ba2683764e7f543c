package io.balsamlane.core.orders;

/**
 * Demand of one scheduling domain (a model in a data centre), in engines.
 *
 * @param prefillNeeded number of engines that the prefill work would fully utilize
 * @param prefillEngines number of engines in the prefill pools
 * @param decodeNeeded number of engines that the decode work would fully utilize
 * @param decodeEngines number of engines in the decode pools
 * @param idleEngines number of usable engines without a loaded model
 */
public record DomainDemand(double prefillNeeded, int prefillEngines, double decodeNeeded, int decodeEngines,
		int idleEngines) {

	public DomainDemand {
		if (prefillEngines < 0 || decodeEngines < 0 || idleEngines < 0) {
			throw new IllegalArgumentException("Number of engines must not be negative");
		}
	}

}
