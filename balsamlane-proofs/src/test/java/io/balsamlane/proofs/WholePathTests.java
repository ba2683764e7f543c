package io.balsamlane.proofs;

import java.time.Duration;
import java.util.Map;

import io.balsamlane.standin.engine.Prompt;
import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.FleetHttp.Answer;
import io.balsamlane.standin.fleet.RouterProcess;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against failures anywhere between caller and backend servers when each component
 * runs in a separate process.
 */
class WholePathTests {

	private static final String OBJECTS = """
			[pool draft-prefill]
			role = prefill
			model = draft-service
			place = doto-a
			[pool draft-decode]
			role = decode
			model = draft-service
			place = doto-a
			[service ledger]
			repeatable = GET
			[selector everything]
			cross_region = true
			""";

	@Test
	void modelRequestsAndPlainCallsAreAnswered() {
		try (Fleet fleet = Fleet.create(100)) {
			fleet.engine("prefill-1", "draft-prefill", "doto-a", "doto");
			fleet.engine("decode-1", "draft-decode", "doto-a", "doto");
			fleet.service("ledger-1", "ledger", "doto-a", "doto");
			RouterProcess first = fleet.router("router-1", "doto-a", "doto", Map.of());
			RouterProcess second = fleet.router("router-2", "dohoku-a", "dohoku", Map.of());
			fleet.apply(OBJECTS);
			Fleet.await("router-2 reaches the ledger", Duration.ofSeconds(10),
					() -> fleet.http().get(second.callerUrl("/services/ledger/status")).status() == 200);

			String prompt = "wax ".repeat(300);
			JsonObject body = new JsonObject().put("model", "draft-service")
				.put("prompt", prompt)
				.put("max_tokens", 12);
			Answer draft = fleet.http().send("POST", first.callerUrl("/v1/completions"), body.encode(), Map.of());
			assertThat(new JsonObject(draft.body()).getJsonArray("choices").getJsonObject(0).getString("text"))
				.isEqualTo(Prompt.parse(prompt).answer(12));

			Map<String, String> key = Map.of("Idempotency-Key", "pickup-1");
			Answer pickup = fleet.http().send("POST", first.callerUrl("/services/ledger/pickups"), "wax", key);
			Answer again = fleet.http().send("POST", second.callerUrl("/services/ledger/pickups"), "wax", key);
			assertThat(pickup.status()).isEqualTo(200);
			assertThat(again.body()).isEqualTo(pickup.body());
		}
	}

}
