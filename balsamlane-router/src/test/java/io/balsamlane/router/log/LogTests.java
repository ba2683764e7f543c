package io.balsamlane.router.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.core.OutputStreamAppender;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the log output. They guard against log lines without the id of their request,
 * and against an outage that fills the disk with repetitions of one error.
 */
class LogTests {

	@Test
	void writesJsonLinesWithRequestPeerAndRevision() {
		List<JsonObject> lines = lines(() -> {
			try (LogContext request = LogContext.request("r-1");
					LogContext peer = LogContext.peer("router-2");
					LogContext revision = LogContext.revision(7)) {
				System.getLogger("test.log").log(System.Logger.Level.INFO, "Line {0}", "one");
			}
			System.getLogger("test.log").log(System.Logger.Level.INFO, "Line two");
		});
		assertThat(lines).hasSize(2);
		assertThat(lines.get(0).getString("formattedMessage")).isEqualTo("Line one");
		assertThat(lines.get(0).getJsonObject("mdc").getMap()).containsEntry("request", "r-1")
			.containsEntry("peer", "router-2")
			.containsEntry("revision", "7");
		assertThat(lines.get(1).getJsonObject("mdc").getMap()).isEmpty();
	}

	@Test
	void logsRepeatedErrorOncePerInterval() {
		List<JsonObject> lines = lines(() -> IntStream.range(0, 100).forEach((index) -> {
			System.getLogger("test.log")
				.log(System.Logger.Level.ERROR, "Engine a disconnected from port " + (40_000 + index));
			System.getLogger("test.log")
				.log(System.Logger.Level.ERROR, "Engine b disconnected from port " + (40_000 + index));
			System.getLogger("test.log").log(System.Logger.Level.INFO, "Informational messages are not limited");
		}));
		assertThat(lines.stream().filter((line) -> line.getString("level").equals("ERROR"))).hasSize(2);
		assertThat(lines).hasSize(102);
	}

	private static List<JsonObject> lines(Runnable action) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		JsonEncoder encoder = new JsonEncoder();
		encoder.setContext(context);
		encoder.setWithFormattedMessage(true);
		encoder.start();
		RepeatFilter filter = new RepeatFilter();
		filter.setIntervalMillis(60_000);
		filter.start();
		OutputStreamAppender<ch.qos.logback.classic.spi.ILoggingEvent> appender = new OutputStreamAppender<>();
		appender.setContext(context);
		appender.setEncoder(encoder);
		appender.setOutputStream(out);
		appender.addFilter(filter);
		appender.start();
		ch.qos.logback.classic.Logger logger = context.getLogger("test.log");
		logger.setAdditive(false);
		logger.addAppender(appender);
		try {
			action.run();
		}
		finally {
			logger.detachAppender(appender);
		}
		return out.toString(StandardCharsets.UTF_8).lines().map(JsonObject::new).toList();
	}

}
