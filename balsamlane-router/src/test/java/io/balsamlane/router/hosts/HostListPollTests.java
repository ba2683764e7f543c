package io.balsamlane.router.hosts;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.balsamlane.core.model.HostList;
import io.balsamlane.schema.HostListSettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host list that is replaced by an error response or by an older list.
 */
class HostListPollTests {

	private static final String ENTRY = """
			[{"host":"%s","kind":"engine","name":"notes","place":"here","region":"here","address":"127.0.0.1",
			"port":80,"state":"live"}]""";

	private final Vertx vertx = Vertx.vertx();

	private final List<String> lists = new CopyOnWriteArrayList<>();

	private final Queue<Answer> answers = new ArrayDeque<>();

	private volatile int polls;

	private HostListReader reader;

	@BeforeEach
	void start() throws Exception {
		HttpServer server = await(this.vertx.createHttpServer().requestHandler(this::respond).listen(0, "127.0.0.1"));
		HostListSettings settings = HostListSettings.newBuilder()
			.setUrl("http://127.0.0.1:" + server.actualPort() + "/hosts")
			.setPollMillis(50)
			.build();
		this.reader = HostListReader.create(this.vertx, settings, (hosts) -> this.lists.add(names(hosts)));
	}

	@AfterEach
	void stop() throws Exception {
		this.reader.stop();
		await(this.vertx.close());
	}

	private synchronized void respond(HttpServerRequest request) {
		Answer answer = (this.answers.size() > 1) ? this.answers.remove() : this.answers.element();
		this.polls++;
		this.vertx.setTimer(answer.delayMillis(),
				(id) -> request.response().setStatusCode(answer.status()).end(answer.body()));
	}

	private static String names(HostList hosts) {
		return String.join(",", hosts.servers().stream().map((server) -> server.name().value()).toList());
	}

	@Test
	void errorResponseDoesNotReplaceList() throws Exception {
		this.answers.add(new Answer(200, 1, ENTRY.formatted("a")));
		this.answers.add(new Answer(500, 1, "[]"));
		this.answers.add(new Answer(404, 1, ENTRY.formatted("b")));
		this.answers.add(new Answer(200, 1, ENTRY.formatted("c")));
		this.reader.start();
		waitUntil(() -> this.lists.contains("c"));
		assertThat(this.lists).containsExactly("a", "c");
	}

	@Test
	void slowResponseDoesNotReplaceNewerList() throws Exception {
		this.answers.add(new Answer(200, 1, ENTRY.formatted("first")));
		this.answers.add(new Answer(200, 300, ENTRY.formatted("older")));
		this.answers.add(new Answer(200, 1, ENTRY.formatted("newer")));
		this.reader.start();
		waitUntil(() -> this.lists.contains("older") && this.lists.contains("newer"));
		assertThat(this.lists).containsExactly("first", "older", "newer");
	}

	@Test
	void pollThatFailsIsFollowedByAnother() throws Exception {
		this.answers.add(new Answer(200, 60_000, "[]"));
		this.answers.add(new Answer(200, 1, ENTRY.formatted("a")));
		this.reader.start();
		waitUntil(() -> this.lists.contains("a"));
		assertThat(this.lists).containsExactly("a");
		assertThat(this.polls).isGreaterThan(1);
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

	/**
	 * Answer to a poll.
	 *
	 * @param status status code
	 * @param delayMillis time before the answer is sent, in milliseconds
	 * @param body body of the answer
	 */
	private record Answer(int status, long delayMillis, String body) {
	}

}
