package io.balsamlane.router.forwarding;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DecisionLog}: logging must neither block requests nor grow without
 * bound.
 */
class DecisionLogTests {

	@Test
	void writesFieldsWithTheirTypes() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		DecisionLog log = DecisionLog.create("host-1", new PrintStream(out));
		log.start();
		log.log("server-chosen", "request-1", "server", "a", "age_millis", 12, "late", true);
		log.stop();
		JsonObject line = new JsonObject(out.toString(StandardCharsets.UTF_8));
		assertThat(line.getString("host")).isEqualTo("host-1");
		assertThat(line.getString("event")).isEqualTo("server-chosen");
		assertThat(line.getString("request")).isEqualTo("request-1");
		assertThat(line.getValue("age_millis")).isEqualTo(12);
		assertThat(line.getValue("late")).isEqualTo(true);
		assertThat(line.getString("time")).endsWith("Z");
	}

	@Test
	void limitsLinesPerKindAndCountsSuppressedLines() throws Exception {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		DecisionLog log = DecisionLog.create("host-1", new PrintStream(out));
		log.start();
		for (int line = 0; line < 1000; line++) {
			log.log("request-ended", "");
		}
		log.log("process-started", "");
		Thread.sleep(1100);
		log.log("process-started", "");
		log.stop();
		List<JsonObject> lines = out.toString(StandardCharsets.UTF_8).lines().map(JsonObject::new).toList();
		long written = lines.stream().filter((line) -> line.getString("event").equals("request-ended")).count();
		long suppressed = lines.stream()
			.filter((line) -> line.getString("event").equals("log-suppressed"))
			.mapToLong((line) -> line.getLong("lines"))
			.sum();
		assertThat(written).isBetween(200L, 400L);
		assertThat(written + suppressed).isEqualTo(1000);
		assertThat(lines).anyMatch((line) -> line.getString("event").equals("process-started"));
	}

	@Test
	void idleWriterIsNotWokenPeriodicallyAndWritesTheNextLine() throws Exception {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		DecisionLog log = DecisionLog.create("host-idle", new PrintStream(out));
		Set<Thread> before = Thread.getAllStackTraces().keySet();
		log.start();
		Thread writer = Thread.getAllStackTraces()
			.keySet()
			.stream()
			.filter((thread) -> thread.getName().equals("decision-log") && !before.contains(thread))
			.findFirst()
			.orElseThrow();
		for (int line = 1; line <= 3; line++) {
			await(() -> writer.getState() == Thread.State.WAITING);
			log.log("line", "");
			long lines = line;
			await(() -> out.toString(StandardCharsets.UTF_8).lines().count() == lines);
		}
		log.stop();
		assertThat(writer.isAlive()).isFalse();
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).isLessThan(limitNanos);
			Thread.sleep(5);
		}
	}

	@Test
	void blockedOutputDoesNotBlockCaller() {
		CountDownLatch unblocked = new CountDownLatch(1);
		DecisionLog log = DecisionLog.create("host-1", new PrintStream(new OutputStream() {

			@Override
			public void write(int next) {
				try {
					unblocked.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}

		}));
		log.start();
		long startNanos = System.nanoTime();
		for (int line = 0; line < 50_000; line++) {
			log.log("event-" + line % 500, "");
		}
		assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofSeconds(10));
		unblocked.countDown();
	}

}
