package io.balsamlane.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.balsamlane.bench.load.Arrivals;
import io.balsamlane.bench.load.CallResult;
import io.balsamlane.bench.load.CallSource;
import io.balsamlane.bench.load.DirectTransport;
import io.balsamlane.bench.load.LoadGenerator;
import io.balsamlane.bench.load.LoadReport;
import io.balsamlane.bench.load.ModelTransport;
import io.balsamlane.bench.load.RouterTransport;
import io.balsamlane.bench.load.Workload;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.RouterProcess;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Cost of one router: added time to first token, tokens per core, start and memory.
 * <p>
 * The engines are fast and have room for everything, so that the router is what is
 * measured. Requests through the router and requests straight to the engines alternate in
 * the same load.
 */
final class PathExperiment implements Experiment {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final int REQUESTS_PER_SECOND = 200;

	private static final int WARM_UP_SECONDS = 8;

	private static final int STARTS = 5;

	private static final int RELAY_CONCURRENCY = 260;

	private static final Duration DRAIN = Duration.ofSeconds(10);

	private static final String OBJECTS = """
			[pool bench-prefill]
			role = prefill
			model = bench
			place = doto-a
			[pool bench-decode]
			role = decode
			model = bench
			place = doto-a
			[selector everything]
			""";

	private static final String[] FAST_ENGINE = { "--memory-pieces", "100000", "--prefill-tokens-per-second", "1000000",
			"--step-micros", "9000", "--step-per-sequence-micros", "0" };

	private static final Workload SHORT_PROMPTS = new Workload("bench", List.of("bench-token"), 0, 0, 120, 0.4, 128, 0);

	private final MeasureOptions options;

	private final ResultTable table;

	private PathExperiment(MeasureOptions options) {
		this.options = options;
		this.table = ResultTable.create(options, "measure", "value", "unit", "detail");
	}

	/**
	 * Creates the experiment.
	 * @param options options of the run
	 * @return the experiment
	 */
	static Experiment create(MeasureOptions options) {
		return new PathExperiment(options);
	}

	@Override
	public void run() {
		try (Fleet fleet = Fleet.create(50)) {
			List<Endpoint> prefill = endpoints(
					fleet.engines("prefill", "bench-prefill", "doto-a", "doto", 2, FAST_ENGINE));
			List<Endpoint> decode = new ArrayList<>();
			IntStream.rangeClosed(1, 3)
				.forEach((process) -> decode.addAll(endpoints(
						fleet.engines("decode-" + process, "bench-decode", "doto-a", "doto", 2, FAST_ENGINE))));
			RouterProcess router = fleet.router("router-1", "doto-a", "doto", Map.of());
			fleet.apply(OBJECTS);
			Fleet.await("the router sees the engines", Duration.ofSeconds(10), () -> answers(fleet, router));
			LoadGenerator generator = LoadGenerator.create(2);
			try {
				addedLatency(generator, router, DirectTransport.create(prefill, decode));
				tokensPerCore(generator, router);
				memoryGrowth(fleet, generator, router);
			}
			finally {
				generator.stop();
			}
			start(fleet);
		}
	}

	private static List<Endpoint> endpoints(List<Integer> ports) {
		return ports.stream().map((port) -> new Endpoint("127.0.0.1", port)).toList();
	}

	private static boolean answers(Fleet fleet, RouterProcess router) {
		String body = new JsonObject().put("model", "bench").put("prompt", "one").put("max_tokens", 1).encode();
		return fleet.http().send("POST", router.callerUrl("/v1/completions"), body, Map.of()).status() == 200;
	}

	private CallSource source(Workload workload, int salt) {
		return CallSource.create(workload, random(salt));
	}

	private UniformRandomProvider random(int salt) {
		return RandomSource.XO_RO_SHI_RO_128_PP.create(this.options.seed() * 1000 + salt);
	}

	private void addedLatency(LoadGenerator generator, RouterProcess router, ModelTransport direct) {
		ModelTransport routed = RouterTransport.create((call) -> router.callerPort());
		ModelTransport alternating = (client, call, listener) -> ((call.index() % 2 == 0) ? direct : routed)
			.send(client, call, listener);
		int seconds = this.options.secondsOr(20);
		generator.openLoop(Arrivals.poisson(random(1), 2 * REQUESTS_PER_SECOND, WARM_UP_SECONDS),
				source(SHORT_PROMPTS, 2), alternating, DRAIN);
		ProcessUsage before = ProcessUsage.of(router.process().pid());
		LoadReport report = generator.openLoop(Arrivals.poisson(random(3), 2 * REQUESTS_PER_SECOND, seconds),
				source(SHORT_PROMPTS, 4), alternating, DRAIN);
		double cores = ProcessUsage.of(router.process().pid())
			.coresSince(before, report.endNanos() - report.startNanos());
		LoadReport straight = report.only((result) -> result.call().index() % 2 == 0);
		LoadReport through = report.only((result) -> result.call().index() % 2 == 1);
		String detail = through.results().size() + " requests each in " + seconds + " s; errors " + report.errorKinds()
				+ "; wrong " + report.count(CallResult.Outcome.WRONG);
		quantile("added time to first token, median", straight.firstToken(), through.firstToken(), 50, detail);
		quantile("added time to first token, p99", straight.firstToken(), through.firstToken(), 99, detail);
		quantile("added to p95 between tokens, median", straight.p95Gap(), through.p95Gap(), 50, detail);
		this.table.row("router cores at this load", cores, "cores", "load tool " + report.generatorCores()
				+ " cores, p99 of its lag " + report.generatorLagMillis() + " ms");
		plot(straight.firstToken(), through.firstToken());
	}

	private void quantile(String name, Histogram straight, Histogram through, double percentile, String detail) {
		double without = straight.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
		double with = through.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
		this.table.row(name, with - without, "ms", "straight " + without + " ms, routed " + with + " ms; " + detail);
	}

	private void plot(Histogram straight, Histogram through) {
		List<Double> percentiles = IntStream.rangeClosed(1, 199).mapToObj((i) -> i / 2.0).toList();
		Map<String, Plots.Points> series = new TreeMap<>();
		series.put("straight", new Plots.Points(percentiles, values(straight, percentiles)));
		series.put("through the router", new Plots.Points(percentiles, values(through, percentiles)));
		Plots.write(this.options.file(".png"), "Time to first token at 200 requests/s", "percentile", "ms", series);
	}

	private static List<Double> values(Histogram histogram, List<Double> percentiles) {
		return percentiles.stream()
			.map((percentile) -> histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI)
			.toList();
	}

	private void tokensPerCore(LoadGenerator generator, RouterProcess router) {
		ModelTransport routed = RouterTransport.create((call) -> router.callerPort());
		ProcessUsage before = ProcessUsage.of(router.process().pid());
		LoadReport report = generator.closedLoop(RELAY_CONCURRENCY, Duration.ofSeconds(this.options.secondsOr(15)),
				source(SHORT_PROMPTS, 5), routed, DRAIN);
		ProcessUsage after = ProcessUsage.of(router.process().pid());
		long nanos = report.endNanos() - report.startNanos();
		double perSecond = report.results().stream().mapToLong(CallResult::tokens).sum() * 1e9 / nanos;
		double cores = after.coresSince(before, nanos);
		String detail = perSecond + " tokens/s with " + cores + " cores; load tool " + report.generatorCores()
				+ " cores, p99 of its lag " + report.generatorLagMillis() + " ms; errors " + report.errorKinds()
				+ "; wrong " + report.count(CallResult.Outcome.WRONG);
		this.table.row("tokens relayed per core and second", perSecond / cores, "tokens/s", detail);
		this.table.row("peak resident memory while relaying", after.peakKib() / 1024.0, "MiB", detail);
	}

	private void memoryGrowth(Fleet fleet, LoadGenerator generator, RouterProcess router) {
		int seconds = this.options.secondsOr(60);
		ModelTransport routed = RouterTransport.create((call) -> router.callerPort());
		CompletableFuture<LoadReport> load = CompletableFuture
			.supplyAsync(() -> generator.openLoop(Arrivals.poisson(random(6), REQUESTS_PER_SECOND, seconds),
					source(SHORT_PROMPTS.withCancelShare(0.2), 7), routed, DRAIN));
		sleep(seconds * 1000L / 4);
		long early = LiveHeap.bytes(router.process().pid());
		long earlyKib = ProcessUsage.of(router.process().pid()).residentKib();
		sleep(seconds * 1000L / 4 * 3 - 1000);
		long late = LiveHeap.bytes(router.process().pid());
		long lateKib = ProcessUsage.of(router.process().pid()).residentKib();
		LoadReport report = load.join();
		String detail = "between " + seconds / 4 + " s and " + (seconds - 1) + " s of "
				+ report.count(CallResult.Outcome.CANCELLED) + " cancelled of " + report.results().size() + "; errors "
				+ report.errorKinds();
		this.table.row("growth of the reachable heap", (late - early) / 1024.0, "KiB",
				early / 1024 + " to " + late / 1024 + " KiB " + detail);
		this.table.row("growth of the resident memory", lateKib - earlyKib, "KiB",
				earlyKib + " to " + lateKib + " KiB " + detail);
		sleep(2000);
		int pieces = IntStream.rangeClosed(1, 3)
			.boxed()
			.flatMap((process) -> List.of("decode-" + process + "-1", "decode-" + process + "-2").stream())
			.mapToInt((name) -> new JsonObject(fleet.inspect(name, "state")).getInteger("usedPieces"))
			.sum();
		this.table.row("decode memory in use 2 s after the load", pieces, "pieces", "");
	}

	private void start(Fleet fleet) {
		List<Double> millis = new ArrayList<>();
		for (int i = 1; i <= STARTS; i++) {
			long startNanos = System.nanoTime();
			RouterProcess router = fleet.router("start-" + i, "doto-a", "doto", Map.of());
			Fleet.await("the router is ready", Duration.ofSeconds(10),
					() -> fleet.http().get(router.adminUrl("/ready")).status() == 200);
			millis.add((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
			router.process().kill();
		}
		this.table.row("start to ready, slowest of " + STARTS,
				millis.stream().mapToDouble(Double::doubleValue).max().orElse(0), "ms", "all: " + millis);
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException("Interrupted while measuring", ex);
		}
	}

}
