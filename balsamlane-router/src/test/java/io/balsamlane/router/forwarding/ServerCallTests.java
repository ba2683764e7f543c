package io.balsamlane.router.forwarding;

import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.balsamlane.core.forwarding.AttemptOutcome;
import io.balsamlane.core.forwarding.CallerLimits;
import io.balsamlane.core.forwarding.CustomerDirectory;
import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.forwarding.EngineRates;
import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.ForwardingConfiguration;
import io.balsamlane.core.forwarding.ForwardingRoute;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.RequestKind;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.HostAndPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that is written to a server which announced, while the
 * connection was opened, that it is leaving or wants no requests for a time, and against
 * two attempts of a request on one connection. Guards also against a request that is sent
 * although its key was withdrawn while the connection was opened.
 */
class ServerCallTests {

	private static final ForwardingRoute ROUTE = new ForwardingRoute("route", "a.example", "/", RequestKind.IDEMPOTENT,
			1000, 500, 0, List.of(new ForwardingRoute.WeightedService("service", 1)), 2, 0);

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

	private final Vertx serverVertx = Vertx.vertx();

	private final AtomicInteger received = new AtomicInteger();

	private final ForwardingState state = ForwardingState.create(
			DecisionLog.create("router", new PrintStream(OutputStream.nullOutputStream())),
			new EngineRates(33.3, 2.3, 10, 3, 42, 60, 25), "region", "place", 0,
			new ForwardingState.RetryRule(0.2, 54, 10_000_000_000L));

	private HttpServer server;

	@BeforeEach
	void start() throws Exception {
		this.state.apply(configuration(1, "key"), "test");
		this.server = this.serverVertx.createHttpServer().requestHandler((request) -> {
			this.received.incrementAndGet();
			request.response().putHeader("Id", request.getHeader("Id")).end();
		});
		await(this.server.listen(0, "127.0.0.1"));
	}

	@AfterEach
	void stop() throws Exception {
		await(this.vertx.close());
		await(this.serverVertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void serverThatBecomesUnusableWhileConnectingGetsNoRequest(boolean leaving) throws Exception {
		ListedServer listed = listed();
		this.state.serverListed(listed);
		Promise<AttemptOutcome> outcome = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			call(client(), listed, outcome);
			this.state.noticeReceived(listed, new ServerNotice(leaving, leaving ? 0 : 30_000, Optional.empty()));
		});
		assertThat(await(outcome.future())).isInstanceOf(AttemptOutcome.NotSent.class);
		Thread.sleep(100);
		assertThat(this.received).hasValue(0);
	}

	@Test
	void requestWhoseKeyIsWithdrawnWhileConnectingIsNotSent() throws Exception {
		ListedServer listed = listed();
		this.state.serverListed(listed);
		Promise<AttemptOutcome> outcome = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			call(client(), listed, outcome);
			this.state.apply(configuration(2, "other"), "test");
		});
		assertThat(await(outcome.future())).isInstanceOf(AttemptOutcome.NotSent.class);
		Thread.sleep(100);
		assertThat(this.received).hasValue(0);
	}

	// A second response to the first attempt would have the id that the second awaits.
	@Test
	void connectionDoesNotCarryTwoAttemptsOfARequest() throws Exception {
		ListedServer listed = listed();
		this.state.serverListed(listed);
		Promise<AttemptOutcome> outcome = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			ServerClient client = client();
			client.open(listed, HttpMethod.GET, "/")
				.compose((first) -> first.putHeader("Id", "id").send().compose(HttpClientResponse::body))
				.onSuccess((first) -> this.vertx.setTimer(100, (timer) -> call(client, listed, outcome)))
				.onFailure(outcome::fail);
		});
		assertThat(await(outcome.future())).isInstanceOf(AttemptOutcome.NotSent.class);
		assertThat(this.received).hasValue(1);
	}

	private ListedServer listed() {
		return new ListedServer(new BackendServer(ServerName.of("a"), BackendServer.Kind.SERVICE, "service",
				Place.of("place"), "region", Endpoint.of("127.0.0.1", this.server.actualPort()), false),
				EngineStage.DECODE, 6, 1);
	}

	private ServerClient client() {
		return new ServerClient(this.vertx, ForwardingLimits.defaults(), "Id", (unmatched) -> {
		});
	}

	private void call(ServerClient client, ListedServer listed, Promise<AttemptOutcome> outcome) {
		ForwardingContext context = new ForwardingContext(this.vertx, null, this.state, client,
				ForwardingLimits.defaults(), null, null, null, null, null, null);
		RequestCaller caller = RequestCaller.identify(this.state, dialect(), request(), ROUTE);
		new ServerCall(context, listed, caller, (response) -> outcome.fail("a response"), outcome::complete)
			.start(request(), "id", Buffer.buffer(), 1000, (headers) -> {
			});
	}

	private static HttpServerRequest request() {
		return (HttpServerRequest) Proxy.newProxyInstance(ServerCallTests.class.getClassLoader(),
				new Class<?>[] { HttpServerRequest.class }, (proxy, method, arguments) -> switch (method.getName()) {
					case "method" -> HttpMethod.GET;
					case "authority" -> HostAndPort.create("a.example", 80);
					case "headers" -> MultiMap.caseInsensitiveMultiMap();
					default -> "/";
				});
	}

	private static ForwardingDialect dialect() {
		return (ForwardingDialect) Proxy.newProxyInstance(ServerCallTests.class.getClassLoader(),
				new Class<?>[] { ForwardingDialect.class },
				(proxy, method, arguments) -> method.getName().equals("bearerKey") ? Optional.of("key") : null);
	}

	private static ForwardingConfiguration configuration(long version, String key) {
		CustomerDirectory customers = CustomerDirectory.builder()
			.add(CustomerId.of("customer"), List.of(key), OptionalInt.empty(), CustomerQuota.UNLIMITED)
			.build();
		return ForwardingConfiguration.of(version, List.of(ROUTE), List.of(), new CallerLimits(1, 1, 1, 1), customers);
	}

}
