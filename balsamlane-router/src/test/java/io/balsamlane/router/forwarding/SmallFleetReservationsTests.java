package io.balsamlane.router.forwarding;

/**
 * {@link EngineReservationsTests} in a fleet whose routers report their work to each
 * other directly. Guards against prefills for an engine that all routers discovered
 * simultaneously.
 */
class SmallFleetReservationsTests extends EngineReservationsTests {

	@Override
	int routers() {
		return 12;
	}

}
