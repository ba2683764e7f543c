package io.balsamlane.core.forwarding;

/**
 * Whose requests a report of work counts.
 */
public enum WorkScope {

	/** Requests of the router that reports. */
	OWN,

	/** Requests of all routers of the region of the router that reports. */
	REGION,

	/** Requests of all routers but the one that receives the report. */
	REST

}
