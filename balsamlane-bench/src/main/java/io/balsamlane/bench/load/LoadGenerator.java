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
 * Sends requests at given times and records what their callers see.
 * <p>
 * Times run from the moment at which a request was due, not from the moment at which it
 * was sent, so a load tool or a router that falls behind shows in the latencies
 * (coordinated omission).
 */
public final class LoadGenerator {

	private static final int MAX_CONNECTIONS = 4000;

	/**
	 * Time after which a call that is to be cancelled before its first token is closed.
	 */
	public static final int EARLY_CANCEL_MILLIS = 100;

	private final List<Lane> lanes;

	private LoadGenerator(List<Lane> lanes) {
		this.lanes = lanes;
	}

	/**
	 * Creates a generator.
	 * @param eventLoops event loops that send and receive
	 * @return the generator; close it with {@link #stop()}
	 */
	public static LoadGenerator create(int eventLoops) {
		return new LoadGenerator(IntStream.range(0, eventLoops).mapToObj((i) -> Lane.create()).toList());
	}

	/**
	 * Sends requests at given times, whatever becomes of them.
	 * @param arrivalNanos times from the start of the load, ascending
	 * @param source source of the requests
	 * @param transport way to the answers
	 * @param drain longest wait for answers after the last arrival
	 * @return what the callers saw
	 */
	public LoadReport openLoop(long[] arrivalNanos, CallSource source, ModelTransport transport, Duration drain) {
		Run run = new Run(transport, new CountDownLatch(arrivalNanos.length));
		for (int i = 0; i < arrivalNanos.length; i++) {
			ModelCall call = source.next(run.startNanos + arrivalNanos[i]);
			parkUntil(call.dueNanos());
			run.send(this.lanes.get(i % this.lanes.size()), call, (result) -> {
			});
		}
		return run.finish(drain);
	}

	/**
	 * Keeps a number of requests in progress.
	 * @param concurrency requests in progress at once
	 * @param duration time in which new requests are sent
	 * @param source source of the requests
	 * @param transport way to the answers
	 * @param drain longest wait for answers after the last request
	 * @return what the callers saw
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
					run.send(this.lanes.get(sent++ % this.lanes.size()), source.next(System.nanoTime()),
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
	 * Closes all connections.
	 */
	public void stop() {
		this.lanes.forEach((lane) -> lane.vertx().close());
	}

	/**
	 * One event loop with its own connections.
	 *
	 * @param vertx the event loop
	 * @param client the client that uses it
	 */
	private record Lane(Vertx vertx, HttpClient client) {

		static Lane create() {
			Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
			return new Lane(vertx, vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(1000),
					new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)));
		}

	}

	/**
	 * Condition that may be waited for.
	 */
	@FunctionalInterface
	private interface Wait {

		boolean await() throws InterruptedException;

	}

	/**
	 * One load from start to end.
	 */
	private static final class Run {

		private final ModelTransport transport;

		private final CountDownLatch open;

		private final Queue<CallResult> results = new ConcurrentLinkedQueue<>();

		private final List<Runnable> giveUp = new ArrayList<>();

		private final long startNanos = System.nanoTime();

		private final Duration cpuAtStart = cpu();

		private final Histogram lagNanos = new ConcurrentHistogram(3);

		private long lastSendNanos;

		Run(ModelTransport transport, CountDownLatch open) {
			this.transport = transport;
			this.open = open;
		}

		void send(Lane lane, ModelCall call, Consumer<CallResult> ended) {
			CallRecorder recorder = new CallRecorder(call, (result) -> {
				this.results.add(result);
				this.open.countDown();
				ended.accept(result);
			});
			this.giveUp.add(() -> lane.vertx().runOnContext((ignored) -> recorder.giveUp()));
			this.lastSendNanos = System.nanoTime();
			lane.vertx().runOnContext((ignored) -> {
				this.lagNanos.recordValue(Math.max(0, System.nanoTime() - call.dueNanos()));
				recorder.start(this.transport.send(lane.client(), call, recorder));
				if (call.cancelAfterTokens() == 0) {
					lane.vertx().setTimer(EARLY_CANCEL_MILLIS, (id) -> recorder.cancel());
				}
			});
		}

		LoadReport finish(Duration drain) {
			return finishWhen(() -> this.open.await(drain.toMillis(), TimeUnit.MILLISECONDS));
		}

		LoadReport finishWhen(Wait drained) {
			try {
				if (!drained.await()) {
					this.giveUp.forEach(Runnable::run);
					TimeUnit.MILLISECONDS.sleep(200);
				}
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException("Interrupted while waiting for answers", ex);
			}
			long nowNanos = System.nanoTime();
			double cpuShare = (double) cpu().minus(this.cpuAtStart).toNanos() / (nowNanos - this.startNanos);
			return new LoadReport(List.copyOf(this.results), this.startNanos, this.lastSendNanos, nowNanos, cpuShare,
					this.lagNanos.getValueAtPercentile(99) / 1e6);
		}

		private static Duration cpu() {
			return ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
		}

	}

}
