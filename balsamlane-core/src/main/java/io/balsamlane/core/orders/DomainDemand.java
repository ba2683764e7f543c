package io.balsamlane.core.orders;

/**
 * Demand of one scheduling domain (model, place), in engines.
 *
 * @param prefillNeeded engines that the prefill work would keep fully busy
 * @param prefillEngines engines of the prefill pools
 * @param decodeNeeded engines that the decode work would keep fully busy
 * @param decodeEngines engines of the decode pools
 * @param idleEngines engines without a model that may be used
 */
public record DomainDemand(double prefillNeeded, int prefillEngines, double decodeNeeded, int decodeEngines,
		int idleEngines) {

	public DomainDemand {
		if (prefillEngines < 0 || decodeEngines < 0 || idleEngines < 0) {
			throw new IllegalArgumentException("The number of engines must not be negative");
		}
	}

}
