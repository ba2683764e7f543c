package io.balsamlane.router.hosts;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.balsamlane.core.model.HostList;
import io.balsamlane.router.http.StutteringServer;
import io.balsamlane.router.http.StutteringServer.Fault;
import io.balsamlane.schema.HostListSettings;
import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.FleetHttp;
import io.balsamlane.standin.hosts.HostListStandIn;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host list that is older than the poll, because the platform responded
 * to an earlier poll a second time.
 */
class SecondResponseTests {

	private static final int POLLS = 4;

	private final List<HostList> received = new CopyOnWriteArrayList<>();

	private StutteringServer server;

	private HostListReader reader;

	@BeforeEach
	void start() throws Exception {
		this.server = StutteringServer.start((vertx) -> new HostListStandIn(vertx, 0, 1, hosts(1)));
		this.reader = HostListReader.create(this.server.vertx(),
				HostListSettings.newBuilder()
					.setUrl("http://" + this.server.endpoint() + "/v1/hosts")
					.setPollMillis(60_000)
					.build(),
				this.received::add);
	}

	@AfterEach
	void stop() throws Exception {
		this.server.close();
	}

	static Stream<Fault> faults() {
		return StutteringServer.faults();
	}

	private static JsonArray hosts(int count) {
		return new JsonArray(IntStream.rangeClosed(1, count)
			.mapToObj((number) -> new JsonObject().put("host", "service-" + number)
				.put("kind", "service")
				.put("name", "ledger")
				.put("place", "doto-a")
				.put("region", "doto")
				.put("address", "127.0.0.1")
				.put("port", number)
				.put("state", "live"))
			.toList());
	}

	private void publish(int count) throws Exception {
		String url = "http://" + this.server.direct();
		FleetHttp http = FleetHttp.create();
		http.send("PUT", url + "/stand-in/hosts", hosts(count).encode(), Map.of());
		Fleet.await("the list is published", Duration.ofSeconds(5),
				() -> new JsonArray(http.get(url + "/v1/hosts").body()).size() == count);
	}

	private void pollUntilReceived(int lists) throws Exception {
		this.server.call(() -> {
			this.reader.start();
			return this.server.vertx().timer(1);
		});
		Fleet.await("list " + lists, Duration.ofSeconds(2), () -> this.received.size() >= lists);
		// A second response on the idle connection arrives before the next poll.
		TimeUnit.MILLISECONDS.sleep(50);
	}

	private List<Integer> sizes() {
		return this.received.stream().map((hosts) -> hosts.servers().size()).toList();
	}

	@ParameterizedTest
	@MethodSource("faults")
	void lateSecondResponseIsNotTakenForResponseToNextPoll(Fault fault) throws Exception {
		this.server.stutter(fault);
		for (int number = 1; number <= POLLS; number++) {
			publish(number);
			pollUntilReceived(number);
			assertThat(sizes()).isEqualTo(IntStream.rangeClosed(1, number).boxed().toList());
		}
		this.server.assertStuttered(fault);
	}

	@Test
	void sequentialPollsShareOneConnection() throws Exception {
		for (int number = 1; number <= 10; number++) {
			publish(number);
			pollUntilReceived(number);
		}
		assertThat(this.server.connections()).isEqualTo(1);
	}

}
