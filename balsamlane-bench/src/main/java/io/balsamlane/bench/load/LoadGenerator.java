package io.balsamlane.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at given times and records the results that customers see.
 * <p>
 * Latencies are measured from the time at which a request was due, not from the time at
 * which it was sent. This avoids coordinated omission: a load generator or router that
 * falls behind shows in the latencies.
 */
public final class LoadGenerator {

	private static final int MAX_CONNECTIONS = 4000;

	/**
	 * Delay after which a request that is to be cancelled before its first token is
	 * closed.
	 */
	public static final int EARLY_CANCEL_MILLIS = 100;

	private final List<ClientLoop> loops;

	private LoadGenerator(List<ClientLoop> loops) {
		this.loops = loops;
	}

	/**
	 * Create a generator.
	 * @param eventLoops number of event loops that send and receive
	 * @return the generator; close it with {@link #stop()}
	 */
	public static LoadGenerator create(int eventLoops) {
		return new LoadGenerator(IntStream.range(0, eventLoops).mapToObj((i) -> ClientLoop.create()).toList());
	}

	/**
	 * Send requests at given times, regardless of the progress of earlier requests.
	 * @param arrivalNanos times from the start of the load, ascending
	 * @param source source of the requests
	 * @param transport transport that sends the requests
	 * @param drain longest wait for answers after the last arrival
	 * @return the report of the load
	 */
	public LoadReport openLoop(long[] arrivalNanos, CallSource source, ModelTransport transport, Duration drain) {
		Run run = new Run(transport, new CountDownLatch(arrivalNanos.length));
		for (int i = 0; i < arrivalNanos.length; i++) {
			ModelCall call = source.next(run.startNanos + arrivalNanos[i]);
			parkUntil(call.dueNanos());
			run.send(this.loops.get(i % this.loops.size()), call, (result) -> {
			});
		}
		return run.finish(drain);
	}

	/**
	 * Keep a constant number of requests in progress.
	 * @param concurrency requests in progress at once
	 * @param duration period during which new requests are sent
	 * @param source source of the requests
	 * @param transport transport that sends the requests
	 * @param drain longest wait for answers after the last request
	 * @return the report of the load
	 */
	public LoadReport closedLoop(int concurrency, Duration duration, CallSource source, ModelTransport transport,
			Duration drain) {
		Run run = new Run(transport, new CountDownLatch(concurrency));
		Semaphore slots = new Semaphore(concurrency);
		long endNanos = run.startNanos + duration.toNanos();
		int sent = 0;
		while (System.nanoTime() - endNanos < 0) {
			try {
				if (slots.tryAcquire(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
					run.send(this.loops.get(sent++ % this.loops.size()), source.next(System.nanoTime()),
							(result) -> slots.release());
				}
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException("Interrupted while sending", ex);
			}
		}
		return run.finishWhen(() -> slots.tryAcquire(concurrency, drain.toMillis(), TimeUnit.MILLISECONDS));
	}

	private static void parkUntil(long dueNanos) {
		long left = dueNanos - System.nanoTime();
		while (left > 0) {
			LockSupport.parkNanos(left);
			left = dueNanos - System.nanoTime();
		}
	}

	/**
	 * Close all connections.
	 */
	public void stop() {
		this.loops.forEach((loop) -> loop.vertx().close());
	}

	/**
	 * HTTP client on an event loop of its own.
	 *
	 * @param vertx the event loop
	 * @param client the client that uses it
	 */
	private record ClientLoop(Vertx vertx, HttpClient client) {

		static ClientLoop create() {
			Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
			return new ClientLoop(vertx, vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(1000),
					new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)));
		}

	}

	/**
	 * Blocking wait for the outstanding requests.
	 */
	@FunctionalInterface
	private interface DrainWait {

		boolean await() throws InterruptedException;

	}

	/**
	 * State of one load from its start to its report.
	 */
	private static final class Run {

		private final ModelTransport transport;

		private final CountDownLatch openRequests;

		private final Queue<CallResult> results = new ConcurrentLinkedQueue<>();

		private final List<Runnable> abandonActions = new ArrayList<>();

		private final long startNanos = System.nanoTime();

		private final Duration cpuTimeAtStart = cpuTime();

		private final Histogram lagNanos = new ConcurrentHistogram(3);

		private long lastSendNanos;

		Run(ModelTransport transport, CountDownLatch openRequests) {
			this.transport = transport;
			this.openRequests = openRequests;
		}

		void send(ClientLoop loop, ModelCall call, Consumer<CallResult> ended) {
			CallRecorder recorder = new CallRecorder(call, (result) -> {
				this.results.add(result);
				this.openRequests.countDown();
				ended.accept(result);
			});
			this.abandonActions.add(() -> loop.vertx().runOnContext((ignored) -> recorder.abandon()));
			this.lastSendNanos = System.nanoTime();
			loop.vertx().runOnContext((ignored) -> {
				this.lagNanos.recordValue(Math.max(0, System.nanoTime() - call.dueNanos()));
				recorder.start(this.transport.send(loop.client(), call, recorder));
				if (call.cancelAfterTokens() == 0) {
					loop.vertx().setTimer(EARLY_CANCEL_MILLIS, (id) -> recorder.cancel());
				}
			});
		}

		LoadReport finish(Duration drain) {
			return finishWhen(() -> this.openRequests.await(drain.toMillis(), TimeUnit.MILLISECONDS));
		}

		LoadReport finishWhen(DrainWait drained) {
			try {
				if (!drained.await()) {
					this.abandonActions.forEach(Runnable::run);
					TimeUnit.MILLISECONDS.sleep(200);
				}
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException("Interrupted while waiting for answers", ex);
			}
			long nowNanos = System.nanoTime();
			double cpuShare = (double) cpuTime().minus(this.cpuTimeAtStart).toNanos() / (nowNanos - this.startNanos);
			return new LoadReport(List.copyOf(this.results), this.startNanos, this.lastSendNanos, nowNanos, cpuShare,
					this.lagNanos.getValueAtPercentile(99) / 1e6);
		}

		private static Duration cpuTime() {
			return ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
		}

	}

}
