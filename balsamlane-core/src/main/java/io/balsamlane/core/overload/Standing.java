package io.balsamlane.core.overload;

/**
 * Standing of a waiting request, which limits the share of an engine that it may use.
 * Routers without a common queue apply the same limits to the same view of the engines,
 * so that capacity remains for requests of a higher standing on other routers (trunk
 * reservation: Key, "Optimal control and trunk reservation in loss networks", 1990).
 */
public enum Standing {

	/** The first event can be on time. */
	ON_TIME,

	/** It can be on time, but the customer exceeds its usual share of the load. */
	EXCESS,

	/** The first event will be late. */
	LATE

}
