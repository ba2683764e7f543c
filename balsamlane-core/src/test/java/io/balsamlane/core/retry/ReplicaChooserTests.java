package io.balsamlane.core.retry;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplicaChooser} and {@link RetryBudget}. Guards against new calls to
 * leaving, failing or slow replicas, against the exclusion of all replicas, and against
 * retries that exceed the budget.
 */
class ReplicaChooserTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final List<BackendServer> replicas = IntStream.rangeClosed(1, 3)
		.mapToObj((number) -> new BackendServer(ServerName.of("ledger-" + number), BackendServer.Kind.SERVICE, "ledger",
				Place.of("doto-a"), "doto", Endpoint.of("127.0.0.1", 9000 + number), false))
		.toList();

	private final ReplicaChooser chooser = ReplicaChooser.create(100, RandomSource.XO_RO_SHI_RO_128_PP.create(7));

	@Test
	void slowReplicaGetsFewCalls() {
		long nowNanos = 0;
		int slow = 0;
		for (int call = 0; call < 2000; call++) {
			BackendServer server = this.chooser.choose(this.replicas, Set.of(), true, nowNanos).orElseThrow();
			this.chooser.started(server, call, nowNanos);
			boolean isSlow = server.equals(this.replicas.get(0));
			slow += isSlow ? 1 : 0;
			nowNanos += isSlow ? 50 * NANOS_PER_MILLI : 10 * NANOS_PER_MILLI;
			this.chooser.succeeded(server, call, nowNanos);
		}
		assertThat(slow).isBetween(2, 20);
	}

	@Test
	void leavingReplicaGetsNoCallsAlthoughTheHostListShowsItAsLive() {
		this.chooser.leaving(this.replicas.get(0), 1, 0);
		for (int call = 0; call < 1000; call++) {
			assertThat(this.chooser.choose(this.replicas, Set.of(), true, call * NANOS_PER_MILLI)).isPresent()
				.get()
				.isNotEqualTo(this.replicas.get(0));
		}
	}

	@Test
	void replicaIsChosenWhenAllReplicasFail() {
		this.replicas
			.forEach((server) -> IntStream.range(0, 5).forEach((call) -> this.chooser.failed(server, call, 0)));
		assertThat(this.chooser.choose(this.replicas, Set.of(), true, NANOS_PER_MILLI)).isPresent();
	}

	@Test
	void replicaThatFailsRepeatedlyIsAvoided() {
		IntStream.range(0, 3).forEach((call) -> this.chooser.failed(this.replicas.get(1), call, 0));
		for (int call = 0; call < 900; call++) {
			assertThat(this.chooser.choose(this.replicas, Set.of(), true, call * NANOS_PER_MILLI)).isPresent()
				.get()
				.isNotEqualTo(this.replicas.get(1));
		}
	}

	@Test
	void retriesStayWithinTheBudget() {
		RetryBudget budget = RetryBudget.create(0.1, 10);
		long retries = IntStream.range(0, 10_000).filter((call) -> {
			budget.requested();
			return budget.take();
		}).count();
		assertThat(retries).isBetween(900L, 1010L);
	}

}
