package io.balsamlane.router.engine;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.PromptPart;
import io.balsamlane.router.peer.StandalonePeerNetwork;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.EngineSettings;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EngineHealth}: different requests with the same prompt prefix must not
 * crash engine after engine.
 */
class EngineHealthTests {

	private static final PromptPart COMMON = PromptPart.of(1);

	private static final PromptPart CRASHING = PromptPart.of(2);

	private static final Endpoint ENDPOINT = Endpoint.of("127.0.0.1", 1);

	private final Vertx vertx = Vertx.vertx();

	private final Context context = this.vertx.getOrCreateContext();

	private final EngineHealth health = EngineHealth.create(this.context, new RefusingEngines(),
			StandalonePeerNetwork
				.create(new Member(HostName.of("router-1"), 1, Place.of("here"), Endpoint.of("127.0.0.1", 1))),
			Timeline.create("router-1", 100, System::currentTimeMillis),
			EngineSettings.newBuilder()
				.setQuarantineSeconds(600)
				.setFailuresBeforePause(3)
				.setFailurePauseMillis(1000)
				.build());

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private <T> T onLoop(Supplier<T> action) throws Exception {
		Promise<T> done = Promise.promise();
		this.context.runOnContext((ignored) -> done.complete(action.get()));
		return done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void crash(String engine, long fingerprint, List<PromptPart> prefixes, int delivered) throws Exception {
		onLoop(() -> {
			int[] tokens = new int[1];
			this.health.recordAttemptStart(engine, "attempt-" + fingerprint, fingerprint, prefixes, () -> tokens[0]);
			tokens[0] = delivered;
			return this.health.diagnose(engine, ENDPOINT);
		});
		Thread.sleep(5);
	}

	private boolean quarantinedWithin(List<PromptPart> prefixes, long millis) throws Exception {
		long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() < limit) {
			if (onLoop(() -> this.health.isQuarantined(99, prefixes))) {
				return true;
			}
			Thread.sleep(20);
		}
		return false;
	}

	@Test
	void promptPrefixSharedByDifferentRequestsIsQuarantinedAfterThreeDeaths() throws Exception {
		for (int number = 1; number <= 3; number++) {
			crash("engine-" + number, number, List.of(COMMON, CRASHING, PromptPart.of(100 + number)), 0);
		}
		assertThat(quarantinedWithin(List.of(COMMON, CRASHING, PromptPart.of(200)), 5000)).isTrue();
		assertThat(onLoop(() -> this.health.isQuarantined(99, List.of(COMMON, PromptPart.of(201))))).isFalse();
	}

	@Test
	void promptPrefixOfRequestsThatHadOutputIsNotQuarantined() throws Exception {
		for (int number = 1; number <= 3; number++) {
			crash("engine-" + number, number, List.of(COMMON), 40);
		}
		assertThat(quarantinedWithin(List.of(COMMON), 1000)).isFalse();
	}

	/** Engines that refuse connections. */
	private static final class RefusingEngines implements EngineClient {

		@Override
		public Future<ProbeResult> probe(Endpoint engine) {
			return Future.succeededFuture(ProbeResult.REFUSED);
		}

		@Override
		public Runnable prefill(Endpoint engine, PrefillCall call, Consumer<PrefillResult> listener) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Runnable decode(Endpoint engine, DecodeCall call, Consumer<DecodeEvent> listener) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Future<CancelResult> cancel(Endpoint engine, String attempt) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Future<Optional<List<String>>> runningAttempts(Endpoint engine) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void dropConnections(Endpoint engine) {
			throw new UnsupportedOperationException();
		}

	}

}
