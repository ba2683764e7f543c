package io.balsamlane.router.engine;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.scheduling.EngineDescriptor;
import io.balsamlane.schema.EngineRole;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a slow response of an engine that is applied after newer ones.
 */
class EngineObserverTests {

	private static final int SLOW_POLL = 5;

	private static final int SLOW_MILLIS = 300;

	private static final EngineDescriptor ENGINE = new EngineDescriptor("engine-1", "pool", EngineRole.PREFILL, "model",
			Place.of("doto-a"), "doto");

	private final Vertx vertx = Vertx.vertx();

	private final AtomicInteger loadPolls = new AtomicInteger();

	private final AtomicInteger eventPolls = new AtomicInteger();

	private final List<Integer> loads = new CopyOnWriteArrayList<>();

	private final List<Long> events = new CopyOnWriteArrayList<>();

	private EngineObserver observer;

	@BeforeEach
	void start() throws Exception {
		HttpServer engine = await(this.vertx.createHttpServer().requestHandler(this::respond).listen(0, "127.0.0.1"));
		Endpoint endpoint = Endpoint.of("127.0.0.1", engine.actualPort());
		this.observer = EngineObserver.create(this.vertx, () -> List.of(ENGINE), (name) -> Optional.of(endpoint),
				(described, load) -> this.loads.add(load.usedPieces()),
				(described, changes) -> changes.forEach((event) -> this.events.add(event.sequence())));
		this.observer.start(50);
	}

	@AfterEach
	void stop() throws Exception {
		this.observer.stop();
		await(this.vertx.close());
	}

	// One response on each path is slow and shows the state at its request.
	private void respond(HttpServerRequest request) {
		boolean load = request.path().equals("/v1/load");
		int poll = (load ? this.loadPolls : this.eventPolls).incrementAndGet();
		String body = load ? new JsonObject().put("usedPieces", poll).encode()
				: eventsAfter(Long.parseLong(request.getParam("after")), poll).encode();
		this.vertx.setTimer((poll == SLOW_POLL) ? SLOW_MILLIS : 1, (id) -> request.response().end(body));
	}

	private static JsonArray eventsAfter(long sequence, int last) {
		JsonArray events = new JsonArray();
		for (long next = sequence + 1; next <= last; next++) {
			events.add(new JsonObject().put("sequence", next).put("what", "stored").put("block", next));
		}
		return events;
	}

	@Test
	void responsesAreAppliedInOrderOfPolls() throws Exception {
		waitUntil(() -> this.loadPolls.get() > 2 * SLOW_POLL && this.eventPolls.get() > 2 * SLOW_POLL);
		await(this.vertx.timer(2 * SLOW_MILLIS));
		assertThat(this.loadPolls).hasValueGreaterThan(2 * SLOW_POLL);
		assertThat(this.eventPolls).hasValueGreaterThan(2 * SLOW_POLL);
		assertThat(this.loads).isNotEmpty().isSorted().doesNotHaveDuplicates();
		assertThat(this.events).isNotEmpty().isSorted().doesNotHaveDuplicates();
	}

	private static void waitUntil(BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (!condition.getAsBoolean() && System.nanoTime() - deadlineNanos < 0) {
			Thread.sleep(5);
		}
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

}
