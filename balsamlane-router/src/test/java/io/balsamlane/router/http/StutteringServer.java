package io.balsamlane.router.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.standin.StandIn;
import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.proxy.SecondResponse;
import io.balsamlane.standin.proxy.SecondResponse.Content;
import io.balsamlane.standin.proxy.SecondResponse.Pieces;
import io.balsamlane.standin.proxy.SecondResponse.Timing;
import io.balsamlane.standin.proxy.StutteringProxy;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Stand-in behind a {@link StutteringProxy}, and an event loop on which a test calls it.
 */
public final class StutteringServer implements AutoCloseable {

	/** Number of requests that are answered twice. */
	private static final int SECOND_RESPONSES = 2;

	private static final int ARRIVAL_MILLIS = 30;

	private final Vertx vertx = Vertx.vertx();

	private final Context context = this.vertx.getOrCreateContext();

	private final Endpoint direct;

	private final StutteringProxy proxy;

	private final Endpoint endpoint;

	private boolean waitsForSecondResponse;

	private StutteringServer(Function<Vertx, StandIn> factory) throws Exception {
		Promise<Integer> port = Promise.promise();
		this.context.runOnContext((ignored) -> factory.apply(this.vertx).start().onComplete(port));
		this.direct = Endpoint.of("127.0.0.1", await(port.future()));
		this.proxy = new StutteringProxy(this.direct.port());
		this.endpoint = Endpoint.of("127.0.0.1", await(this.proxy.start()));
	}

	/**
	 * Start a stand-in without faults.
	 * @param factory creates the stand-in
	 * @return the server
	 * @throws Exception if it cannot be started
	 */
	public static StutteringServer start(Function<Vertx, StandIn> factory) throws Exception {
		return new StutteringServer(factory);
	}

	/**
	 * Return the second responses of servers that echo the id of a request, and of
	 * servers that do not.
	 * @return the faults
	 */
	public static Stream<Fault> faults() {
		List<Fault> faults = new ArrayList<>();
		for (Timing timing : Timing.values()) {
			for (Pieces pieces : Pieces.values()) {
				Arrays.stream(Content.values())
					.forEach((content) -> faults.add(new Fault(content, timing, pieces, true)));
				faults.add(new Fault(Content.COPY, timing, pieces, false));
				faults.add(new Fault(Content.FAILURE, timing, pieces, false));
			}
		}
		return faults.stream();
	}

	/**
	 * Answer the next two requests twice.
	 * @param fault the second responses
	 */
	public void stutter(Fault fault) {
		this.proxy.setEchoing(fault.echoing());
		this.proxy.stutter(new SecondResponse(fault.content(), fault.timing(), fault.pieces(), SECOND_RESPONSES));
		this.waitsForSecondResponse = fault.timing() == Timing.IDLE;
	}

	/**
	 * Make a call on the event loop and wait for its result. If a second response is due
	 * while the connection is idle, wait for that too.
	 * @param call the call
	 * @param <T> type of the result
	 * @return the result
	 * @throws Exception if the call fails or takes too long
	 */
	public <T> T call(Supplier<Future<T>> call) throws Exception {
		int remaining = this.proxy.remaining();
		int sentPieces = this.proxy.sentPieces();
		Promise<T> result = Promise.promise();
		this.context.runOnContext((ignored) -> call.get().onComplete(result));
		T value = await(result.future());
		if (this.waitsForSecondResponse && this.proxy.remaining() < remaining) {
			Fleet.await("second response", Duration.ofSeconds(5), () -> this.proxy.sentPieces() > sentPieces);
			TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
		}
		return value;
	}

	/**
	 * Assert that the fault has occurred. Connections of a server that does not echo ids
	 * may have been closed before.
	 * @param fault the fault
	 */
	public void assertStuttered(Fault fault) {
		if (fault.echoing() || fault.timing() != Timing.NEXT_REQUEST) {
			assertThat(this.proxy.sentPieces()).isPositive();
		}
	}

	/**
	 * Return the Vert.x instance.
	 * @return the Vert.x instance
	 */
	public Vertx vertx() {
		return this.vertx;
	}

	/**
	 * Return the address of the proxy.
	 * @return the address
	 */
	public Endpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Return the address of the stand-in.
	 * @return the address
	 */
	public Endpoint direct() {
		return this.direct;
	}

	/**
	 * Return the number of connections that the proxy has accepted.
	 * @return the number of connections
	 */
	public int connections() {
		return this.proxy.connections();
	}

	/**
	 * Return the number of connections to the proxy that the client has closed.
	 * @return the number of connections
	 */
	public int closedByClient() {
		return this.proxy.closedByClient();
	}

	@Override
	public void close() throws Exception {
		this.proxy.stop();
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	/**
	 * Second responses of a server.
	 *
	 * @param content what they carry
	 * @param timing when they are sent
	 * @param pieces how they are divided
	 * @param echoing whether the first responses carry the id of their request
	 */
	public record Fault(Content content, Timing timing, Pieces pieces, boolean echoing) {
	}

}
