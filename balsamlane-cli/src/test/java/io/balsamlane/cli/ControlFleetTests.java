package io.balsamlane.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an operator who believes something that did not happen: a change that is
 * lost, applied twice, overwritten or not everywhere.
 */
class ControlFleetTests {

	private static final String OBJECTS = """
			[caller kitakami]
			labels = tier=school
			[pool draft-prefill]
			role = prefill
			model = draft-service
			place = doto-a
			labels = generation=current
			[pool draft-decode]
			role = decode
			model = draft-service
			place = doto-a
			labels = generation=current
			[service ledger]
			repeatable = GET
			labels = team=pickups
			[selector school-drafts]
			requests = caller = kitakami, model = draft-service
			targets = generation = current
			[selector school-ledger]
			requests = service = ledger
			targets = team = pickups
			""";

	@TempDir
	Path directory;

	private final StringBuilder transcript = new StringBuilder();

	private TestFleet fleet;

	@BeforeEach
	void start() throws IOException {
		this.fleet = TestFleet.start();
		awaitReach();
		assertThat(apply("objects.ini", OBJECTS, "--author", "edwin").code()).isZero();
	}

	// The host list is read a moment after the start.
	private void awaitReach() throws IOException {
		long deadlineNanos = System.nanoTime() + 5_000_000_000L;
		while (!run("diff", "--file", write("objects.ini", OBJECTS)).out().contains("3 engines")) {
			assertThat(System.nanoTime()).isLessThan(deadlineNanos);
		}
	}

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	@Test
	void dayOfAnOperator() throws IOException {
		step("get");
		step("get", "selector", "school-drafts", "-o", "ini");
		step("describe", "selector", "school-drafts");
		write("wrong.ini", "[selector school-drafts]\ntargets = generation = nxt\nplaces = doto-a\n");
		step("diff", "--file", file("wrong.ini"));
		step("apply", "--file", file("wrong.ini"), "--author", "kaori");
		step("apply", "--file", file("wrong.ini"), "--author", "kaori", "--yes", "-o", "json");
		step("history", "--limit", "1");
		step("explain", "--caller", "kitakami", "--model", "draft-service");
		step("rollback", "1", "--author", "kaori");
		step("explain", "--caller", "kitakami", "--model", "draft-service");
		step("explain", "--service", "ledger", "-o", "json");
		step("rollback", "7");
		step("apply", "--file", write("broken.ini", "[pool a b]\n[pool x]\nrole = cook\ncolour = red\n[pool x]\n"));
		step("apply", "--file", write("invalid.ini", "[selector s]\ntargets = a = = b\n"));
		step("apply", "--file", write("delete.ini", "[selector school-ledger]\ndelete = true\n"), "--author", "kaori");
		Approvals.verify(this.transcript);
	}

	@Test
	void secondOfTwoOperatorsSeesTheChangeOfTheFirst() throws IOException {
		String seen = run("get", "-o", "ini").out();
		assertThat(apply("first.ini", seen.replace("targets = generation = current", "targets = generation = next"),
				"--author", "kaori", "--yes")
			.code()).isZero();
		TestFleet.Run second = apply("second.ini",
				seen.replace("targets = generation = current", "targets = generation in (current, next)"), "--author",
				"edwin");
		assertThat(second.code()).isEqualTo(ExitCode.CONFLICT.code());
		Approvals.verify(second.stable());
	}

	@Test
	void editsOfDifferentObjectsInTheSameFileDoNotConflict() throws IOException {
		String seen = run("get", "-o", "ini").out();
		assertThat(apply("first.ini", seen.replace("tier=school", "tier=ward")).code()).isZero();
		TestFleet.Run second = apply("second.ini", seen.replace("team=pickups", "team=pickups, tier=gold"));
		assertThat(second.code()).as(second.out()).isZero();
		assertThat(second.out()).contains("caller kitakami is as you read it at revision 1");
		assertThat(run("get").out()).contains("tier=ward").contains("tier=gold");
	}

	@Test
	void lostAnswerIsSettledByTheSameChange() throws IOException {
		Vertx vertx = Vertx.vertx();
		HttpServer proxy = answerLosingProxy(vertx);
		int port = TestFleet.await(proxy.listen(0, "127.0.0.1")).actualPort();
		TestFleet.Run run = TestFleet.run(
				Map.of("BALSAMLANE_KEY", TestFleet.KEY, "BALSAMLANE_SERVER", "http://127.0.0.1:" + port), "apply",
				"--file", write("lost.ini", "[pool draft-decode]\nrole = decode\nmodel = draft-service\n"
						+ "place = doto-a\nlabels = generation=current, rack=7\n"));
		TestFleet.await(vertx.close());
		assertThat(run.code()).as(run.stable()).isZero();
		assertThat(run.out()).contains("sending the same change again").contains("Stored as revision 2");
		assertThat(new JsonObject(run("history", "-o", "json").out()).getJsonArray("changes")).hasSize(2);
	}

	// Passes requests on to a router, and closes the connection instead of passing on the
	// first answer to a change, which the router has stored by then.
	private HttpServer answerLosingProxy(Vertx vertx) {
		AtomicBoolean lost = new AtomicBoolean();
		HttpClient client = vertx.createHttpClient();
		return vertx.createHttpServer()
			.requestHandler((request) -> request.body()
				.compose((body) -> client
					.request(new io.vertx.core.http.RequestOptions().setMethod(request.method())
						.setAbsoluteURI(this.fleet.server(0) + request.uri())
						.putHeader("Authorization", request.getHeader("Authorization")))
					.compose((outgoing) -> outgoing.send(body)))
				.compose((answer) -> answer.body().onSuccess((body) -> {
					if (request.path().endsWith("/changes") && lost.compareAndSet(false, true)) {
						request.connection().close();
					}
					else {
						request.response().setStatusCode(answer.statusCode()).end(body);
					}
				})));
	}

	@Test
	void storeThatLosesItsAnswerOrIsDownLeavesNoDoubt() throws IOException {
		this.fleet.storeFaults(new JsonObject().put("loseWriteAnswers", 1));
		assertThat(apply("a.ini", "[service ledger]\nlabels = team=pickups, a=b\n").out())
			.contains("Stored as revision 2");
		this.fleet.storeFaults(new JsonObject().put("down", true));
		TestFleet.Run down = apply("b.ini", "[service ledger]\nlabels = team=pickups, c=d\n");
		assertThat(down.code()).isEqualTo(ExitCode.REFUSED.code());
		assertThat(down.out()).contains("The change is not stored").contains("store-unavailable");
	}

	@Test
	void worksWhileOneRouterIsDead() {
		this.fleet.stopRouter(0);
		assertThat(run("get").code()).isZero();
		assertThat(run("status").out()).contains("No answer from " + this.fleet.server(0)).contains("router-2");
		TestFleet.Run timeline = run("timeline", "--revision", "1");
		assertThat(timeline.out()).contains("router-2   CONFIGURATION_APPLIED")
			.contains("No answer from " + this.fleet.server(0));
	}

	@Test
	void timelineIsWrittenAsJsonLinesAndAsOneSelfContainedPicture() throws IOException {
		assertThat(run("timeline", "-o", "json").out().lines()).allSatisfy((line) -> new JsonObject(line))
			.anyMatch((line) -> line.contains("CONFIGURATION_APPLIED"));
		assertThat(run("timeline", "--node", "router-1", "--html", file("events.html")).code()).isZero();
		assertThat(Files.readString(this.directory.resolve("events.html"))).contains("<svg")
			.contains("router-1")
			.doesNotContain("src=")
			.doesNotContain("href=");
		// Events of router-1 may name router-2 as their subject, so the host of each is
		// compared.
		assertThat(run("timeline", "--node", "router-1", "-o", "json").out()
			.lines()
			.map((line) -> new JsonObject(line))
			.filter((line) -> line.containsKey("kind"))
			.map((event) -> event.getString("host"))).isNotEmpty().containsOnly("router-1");
	}

	@Test
	void wrongKeyIsRefusedAndThePreviousKeyIsAccepted() {
		TestFleet.Run wrong = run("get", "--key", "guess");
		assertThat(wrong.code()).isEqualTo(ExitCode.REFUSED.code());
		assertThat(wrong.err()).contains("wrong-key").contains("BALSAMLANE_KEY");
		assertThat(run("get", "--key", "old-key").code()).isZero();
	}

	@Test
	void drainStopsTheAddressedRouterOnly() {
		TestFleet.Run run = run("drain", "--server", this.fleet.server(1));
		assertThat(run.out()).contains("Router router-2 is draining");
		this.fleet.stopRouter(1);
		assertThat(run("status").out()).contains("router-1").contains("No answer from " + this.fleet.server(1));
	}

	private void step(String... args) {
		TestFleet.Run run = run(args);
		this.transcript.append("$ balsamlanectl ").append(String.join(" ", args).replace(this.directory + "/", ""));
		this.transcript.append('\n').append(run.stable()).append('\n');
	}

	private TestFleet.Run run(String... args) {
		return this.fleet.run(args);
	}

	private TestFleet.Run apply(String name, String content, String... options) throws IOException {
		String[] args = new String[options.length + 5];
		args[0] = "apply";
		args[1] = "--file";
		args[2] = write(name, content);
		args[3] = "--wait-millis";
		args[4] = "10000";
		System.arraycopy(options, 0, args, 5, options.length);
		return run(args);
	}

	private String write(String name, String content) throws IOException {
		return Files.writeString(this.directory.resolve(name), content).toString();
	}

	private String file(String name) {
		return this.directory.resolve(name).toString();
	}

}
