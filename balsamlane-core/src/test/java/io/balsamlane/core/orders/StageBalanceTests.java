package io.balsamlane.core.orders;

import java.util.ArrayList;
import java.util.List;

import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StageBalance}. Guards against engines that remain in an oversized
 * stage and against changes that gain no throughput.
 */
class StageBalanceTests {

	private static final StageBalance BALANCE = new StageBalance(10, 2.5);

	private static ListedServer engine(String name, EngineStage stage, String place) {
		return new ListedServer(new BackendServer(ServerName.of(name), BackendServer.Kind.ENGINE, "notes",
				Place.of(place), place, Endpoint.of("127.0.0.1", 8080), false), stage, 64, 1);
	}

	private static List<ListedServer> engines(int prefill, int decode) {
		List<ListedServer> engines = new ArrayList<>();
		for (int number = 0; number < prefill; number++) {
			engines.add(engine("p" + number, EngineStage.PREFILL, "place"));
		}
		for (int number = 0; number < decode; number++) {
			engines.add(engine("d" + number, EngineStage.DECODE, "place"));
		}
		return engines;
	}

	@ParameterizedTest
	@CsvSource({ "5, 8, decode", "4, 9, decode", "3, 10, ''", "2, 11, prefill", "2, 4, ''", "1, 5, ''", "2, 2, decode",
			"1, 3, ''", "0, 4, prefill", "4, 0, decode", "1, 1, ''", "0, 1, ''", "0, 0, ''" })
	void engineMovesToBottleneckStage(int prefill, int decode, String role) {
		assertThat(BALANCE.nextChange(engines(prefill, decode)).map(StageChange::role).orElse("")).isEqualTo(role);
	}

	@ParameterizedTest
	@CsvSource({ "13", "6", "4", "40" })
	void repeatedChangesConvergeToBestDivision(int total) {
		for (int start = 0; start <= total; start++) {
			int prefill = start;
			for (int change = 0; change <= total; change++) {
				String role = BALANCE.nextChange(engines(prefill, total - prefill)).map(StageChange::role).orElse("");
				prefill += role.equals("prefill") ? 1 : role.equals("decode") ? -1 : 0;
			}
			double throughput = Math.min(prefill * 10, (total - prefill) * 2.5);
			double best = 0;
			for (int other = 1; other < total; other++) {
				best = Math.max(best, Math.min(other * 10, (total - other) * 2.5));
			}
			assertThat(throughput).isGreaterThanOrEqualTo(best / 1.09);
		}
	}

	@Test
	void engineIsTakenFromPlaceWithMostEnginesOfItsStage() {
		List<ListedServer> engines = engines(0, 3);
		engines.add(engine("a", EngineStage.PREFILL, "one"));
		engines.add(engine("b", EngineStage.PREFILL, "two"));
		engines.add(engine("c", EngineStage.PREFILL, "two"));
		assertThat(BALANCE.nextChange(engines)).contains(new StageChange(ServerName.of("b"), "decode"));
	}

	@Test
	void serversWithoutStageAreIgnored() {
		assertThat(
				BALANCE.nextChange(List.of(engine("a", EngineStage.NONE, "one"), engine("b", EngineStage.NONE, "one"))))
			.isEmpty();
	}

}
