package io.balsamlane.core.forwarding;

/**
 * Routers whose requests a work report counts.
 */
public enum WorkScope {

	/** Requests of the reporting router. */
	OWN,

	/** Requests of all routers in the region of the reporting router. */
	REGION,

	/** Requests of all routers except the receiving one. */
	REST

}
