package io.balsamlane.proofs;

import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.FleetHttp.Answer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change that is reported as in force while a router still decides
 * requests by the old configuration.
 */
class ConfigurationInForceTests {

	@Test
	void revisionReportedInForceAppliesToTheNextRequestOnEveryRouter() {
		try (ConfigurationFleet fleet = new ConfigurationFleet(3)) {
			Answer stored = fleet.submit(fleet.router(2), "close", false, 1);
			assertThat(stored.status()).as(stored.body()).isEqualTo(200);
			long revision = ConfigurationFleet.revision(stored);
			Fleet.await("revision " + revision + " is in force on all routers", ConfigurationFleet.IN_FORCE_TARGET,
					() -> fleet.inForce(fleet.router(1), revision).getJsonArray("inForce").size() == 3);
			assertThat(fleet.fleet().routers()).noneMatch(fleet::admits);
			assertThat(fleet.inForce(fleet.router(3), revision + 1).getJsonArray("missing")).hasSize(3);
		}
	}

}
