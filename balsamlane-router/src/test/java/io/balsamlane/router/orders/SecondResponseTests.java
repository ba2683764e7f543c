package io.balsamlane.router.orders;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.EngineOrder;
import io.balsamlane.core.orders.EngineState;
import io.balsamlane.router.http.StutteringServer;
import io.balsamlane.router.http.StutteringServer.Fault;
import io.balsamlane.standin.engine.EngineCapacity;
import io.balsamlane.standin.engine.EngineStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an order or a query of an engine's state that returns the result of an
 * earlier call, because the engine responded to that call a second time.
 */
class SecondResponseTests {

	private static final int CALLS = 4;

	private static final ServerName NAME = ServerName.of("engine");

	private StutteringServer server;

	private HttpEngineOrderClient client;

	@BeforeEach
	void start() throws Exception {
		this.server = StutteringServer
			.start((vertx) -> new EngineStandIn(vertx, 0, "engine", EngineCapacity.ofDefaults()));
		this.client = HttpEngineOrderClient.create(this.server.vertx(), 1000);
	}

	@AfterEach
	void stop() throws Exception {
		this.server.close();
	}

	static Stream<Fault> faults() {
		return StutteringServer.faults();
	}

	private OrderAnswer issue(Endpoint engine, String role, long fencing) throws Exception {
		EngineOrder order = new EngineOrder(EngineOrder.Kind.ROLE, role);
		long notAfterNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		return this.server.call(() -> this.client.issue(NAME, engine, order, fencing, notAfterNanos));
	}

	private EngineState readState() throws Exception {
		StateAnswer answer = this.server.call(() -> this.client.readState(this.server.endpoint()));
		assertThat(answer).isInstanceOf(StateAnswer.Read.class);
		return ((StateAnswer.Read) answer).state();
	}

	@ParameterizedTest
	@MethodSource("faults")
	void lateSecondResponseIsNotTakenForResponseToNextOrder(Fault fault) throws Exception {
		this.server.stutter(fault);
		for (int number = 1; number <= CALLS; number++) {
			assertThat(issue(this.server.endpoint(), "decode", 10 * number)).isEqualTo(new OrderAnswer.Accepted());
			assertThat(issue(this.server.endpoint(), "prefill", 10 * number - 1)).isEqualTo(new OrderAnswer.Stale());
		}
		this.server.assertStuttered(fault);
	}

	@ParameterizedTest
	@MethodSource("faults")
	void lateSecondResponseIsNotTakenForResponseToNextStateQuery(Fault fault) throws Exception {
		this.server.stutter(fault);
		assertThat(readState().fencing()).isZero();
		List<String> roles = List.of("decode", "prefill", "decode");
		for (int number = 1; number <= roles.size(); number++) {
			issue(this.server.direct(), roles.get(number - 1), number);
			assertThat(readState().fencing()).isEqualTo(number);
		}
		this.server.assertStuttered(fault);
	}

	@Test
	void sequentialCallsShareOneConnection() throws Exception {
		for (int number = 1; number <= 10; number++) {
			assertThat(issue(this.server.endpoint(), "decode", number)).isEqualTo(new OrderAnswer.Accepted());
			assertThat(readState().fencing()).isEqualTo(number);
		}
		assertThat(this.server.connections()).isEqualTo(1);
	}

}
