package io.balsamlane.router.store;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import io.balsamlane.router.http.StutteringServer;
import io.balsamlane.router.http.StutteringServer.Fault;
import io.balsamlane.schema.StoreSettings;
import io.balsamlane.standin.store.PlatformStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a call of the store that returns the result of an earlier call, because
 * the store responded to that call a second time.
 */
class SecondResponseTests {

	private static final int CALLS = 4;

	private StutteringServer server;

	private HttpPlatformStore store;

	private HttpPlatformStore direct;

	@BeforeEach
	void start() throws Exception {
		this.server = StutteringServer.start((vertx) -> new PlatformStoreStandIn(vertx, 0));
		this.store = HttpPlatformStore.create(this.server.vertx(), settings(this.server.endpoint().toString()));
		this.direct = HttpPlatformStore.create(this.server.vertx(), settings(this.server.direct().toString()));
	}

	private static StoreSettings settings(String address) {
		return StoreSettings.newBuilder()
			.setUrl("http://" + address)
			.setCallTimeoutMillis(1000)
			.setWatchWaitMillis(200)
			.build();
	}

	@AfterEach
	void stop() throws Exception {
		this.server.close();
	}

	static Stream<Fault> faults() {
		return StutteringServer.faults();
	}

	private static byte[] value(int number) {
		return ("value-" + number).getBytes(StandardCharsets.UTF_8);
	}

	private void writeDirectly(int number) throws Exception {
		this.server.call(() -> this.direct.compareAndSet("key-" + number, value(number), 0));
	}

	private static void assertFound(StoreRead read, int number) {
		assertThat(read).isInstanceOfSatisfying(StoreRead.Found.class, (found) -> {
			assertThat(found.value()).isEqualTo(value(number));
			assertThat(found.version()).isEqualTo(number);
		});
	}

	@ParameterizedTest
	@MethodSource("faults")
	void lateSecondResponseIsNotTakenForResponseToNextRead(Fault fault) throws Exception {
		for (int number = 1; number <= CALLS; number++) {
			writeDirectly(number);
		}
		this.server.stutter(fault);
		for (int number = 1; number <= CALLS; number++) {
			String key = "key-" + number;
			assertFound(this.server.call(() -> this.store.get(key)), number);
		}
		this.server.assertStuttered(fault);
	}

	@ParameterizedTest
	@MethodSource("faults")
	void lateSecondResponseIsNotTakenForResponseToNextWatch(Fault fault) throws Exception {
		for (int number = 1; number <= CALLS; number++) {
			writeDirectly(number);
		}
		this.server.stutter(fault);
		for (int number = 1; number <= CALLS; number++) {
			String key = "key-" + number;
			assertFound(this.server.call(() -> this.store.watch(key, 0)), number);
		}
		this.server.assertStuttered(fault);
	}

	@ParameterizedTest
	@MethodSource("faults")
	void lateSecondResponseIsNotTakenForResponseToNextWrite(Fault fault) throws Exception {
		this.server.stutter(fault);
		for (int number = 1; number <= CALLS; number++) {
			String key = "key-" + number;
			byte[] value = value(number);
			assertThat(this.server.call(() -> this.store.compareAndSet(key, value, 0)))
				.isEqualTo(new StoreWrite.Written(number));
			assertThat(this.server.call(() -> this.store.compareAndSet(key, value, 0)))
				.isEqualTo(new StoreWrite.Mismatch(number));
		}
		this.server.assertStuttered(fault);
	}

	@ParameterizedTest
	@MethodSource("faults")
	void lateSecondResponseIsNotTakenForResponseToNextLease(Fault fault) throws Exception {
		this.server.stutter(fault);
		for (int number = 1; number <= CALLS; number++) {
			long lease = number;
			assertThat(this.server.call(() -> this.store.grantLease(60_000))).isEqualTo(new StoreLease.Granted(lease));
			assertThat(this.server.call(() -> this.store.renewLease(lease))).isEqualTo(new StoreLease.Renewed());
			assertThat(this.server.call(() -> this.store.revokeLease(lease))).isEqualTo(new StoreLease.Revoked());
			assertThat(this.server.call(() -> this.store.renewLease(lease))).isEqualTo(new StoreLease.Gone());
		}
		this.server.assertStuttered(fault);
	}

	@Test
	void sequentialCallsShareOneConnection() throws Exception {
		for (int number = 1; number <= 10; number++) {
			String key = "key-" + number;
			byte[] value = value(number);
			this.server.call(() -> this.store.compareAndSet(key, value, 0));
			assertFound(this.server.call(() -> this.store.get(key)), number);
		}
		assertThat(this.server.connections()).isEqualTo(1);
	}

}
