package io.balsamlane.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

import io.balsamlane.core.model.Place;
import io.balsamlane.core.scheduling.EngineDescriptor;
import io.balsamlane.core.scheduling.EngineLoad;
import io.balsamlane.core.scheduling.Scheduler;
import io.balsamlane.core.scheduling.SchedulerParameters;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Measures the time and the allocation of a scheduler's decision against the number of
 * engines in its domain.
 * <p>
 * The worst case is one domain that holds the whole fleet: 600 replicas of 8 accelerators
 * each, 4,800 in all. A real domain is a part of it. A request holds its engines for 0.9
 * s, so that the decode memory is about 80% full at 5,500 requests/s; prompts of 1,024 to
 * 9,000 tokens share one of 500 prefixes. In the overloaded case 1.6 times as many
 * arrive.
 */
public final class DecisionExperiment {

	private static final int ACCELERATORS_PER_REPLICA = 8;

	private static final int[] REPLICAS = { 8, 38, 150, 300, 600 };

	private static final int WARM_UP = 60_000;

	private static final int MEASURED = 100_000;

	private static final int FLEET = 600;

	/** Time between two requests for the whole fleet at 5,500 requests/s. */
	private static final long GAP_NANOS = 180_000;

	private static final double OVERLOAD = 1.6;

	private static final long PREFILL_NANOS = 40_000_000;

	private static final long HOLD_NANOS = 900_000_000;

	private static final long TICK_NANOS = 10_000_000;

	private final long seed;

	private final Path out;

	private final List<double[]> rows = new ArrayList<>();

	private DecisionExperiment(long seed, Path out) {
		this.seed = seed;
		this.out = out;
	}

	/**
	 * Creates the experiment.
	 * @param seed seed of the requests
	 * @param out directory for {@code decision.csv} and {@code decision.png}
	 * @return the experiment
	 */
	public static DecisionExperiment create(long seed, Path out) {
		return new DecisionExperiment(seed, out);
	}

	/**
	 * Runs the measurement and writes its files.
	 */
	public void run() {
		for (int replicas : REPLICAS) {
			measure(replicas, false);
			measure(replicas, true);
		}
		write();
	}

	private void measure(int replicas, boolean overloaded) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(this.seed);
		Scheduler scheduler = Scheduler.create(SchedulerParameters.ofDefaults(), random, 0);
		List<EngineDescriptor> facts = IntStream.range(0, replicas).mapToObj(DecisionExperiment::facts).toList();
		scheduler.setEngines(facts, 0);
		facts.forEach((fact) -> scheduler
			.observeLoad(new EngineLoad(fact.name(), 60, 0, 200_000, 160_000, 100_000_000_000L), 0));
		Deque<Running> prefilling = new ArrayDeque<>();
		Deque<Running> decoding = new ArrayDeque<>();
		Histogram nanos = new Histogram(3);
		com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
		long gapNanos = (long) (GAP_NANOS * (double) FLEET / replicas / (overloaded ? OVERLOAD : 1));
		long allocated = 0;
		long nowNanos = 0;
		for (int i = 0; i < WARM_UP + MEASURED; i++) {
			nowNanos += gapNanos;
			finish(scheduler, prefilling, decoding, nowNanos, random);
			GrantRequest request = request(random, i);
			long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
			long start = System.nanoTime();
			List<GrantReply> replies = scheduler.request(request, nowNanos);
			long end = System.nanoTime();
			if (i >= WARM_UP) {
				nanos.recordValue(end - start);
				allocated += threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
			}
			keep(replies, prefilling, nowNanos);
			if (nowNanos / TICK_NANOS != (nowNanos - gapNanos) / TICK_NANOS) {
				keep(scheduler.tick(nowNanos), prefilling, nowNanos);
			}
		}
		this.rows.add(new double[] { replicas, replicas * ACCELERATORS_PER_REPLICA, overloaded ? 1 : 0,
				nanos.getValueAtPercentile(50) / 1e3, nanos.getValueAtPercentile(99) / 1e3,
				nanos.getValueAtPercentile(99.9) / 1e3, (double) allocated / MEASURED, scheduler.view().liveGrants(),
				scheduler.view().waiting() });
		double[] row = this.rows.get(this.rows.size() - 1);
		System.out.println(line(row));
	}

	private static void finish(Scheduler scheduler, Deque<Running> prefilling, Deque<Running> decoding, long nowNanos,
			UniformRandomProvider random) {
		while (!prefilling.isEmpty() && nowNanos - prefilling.peek().grantedNanos() > PREFILL_NANOS) {
			Running running = prefilling.remove();
			decoding.add(running);
			GrantUpdate.Builder update = update(running);
			keep(scheduler.update(update.setKind(GrantUpdate.Kind.PREFILL_DONE).build(), nowNanos), prefilling,
					nowNanos);
			keep(scheduler.update(update.setKind(GrantUpdate.Kind.FIRST_TOKEN).build(), nowNanos), prefilling,
					nowNanos);
		}
		while (!decoding.isEmpty() && nowNanos - decoding.peek().grantedNanos() > HOLD_NANOS) {
			GrantUpdate.Builder update = update(decoding.remove());
			keep(scheduler.update(update.setKind(GrantUpdate.Kind.RELEASED)
				.setGeneratedTokens(20 + random.nextInt(60))
				.setBetweenTokensMicros(20_000)
				.build(), nowNanos), prefilling, nowNanos);
		}
	}

	private static GrantUpdate.Builder update(Running running) {
		return GrantUpdate.newBuilder().setRequestId(running.reply().getRequestId()).setAttempt(1);
	}

	private static void keep(List<GrantReply> replies, Deque<Running> prefilling, long nowNanos) {
		replies.stream()
			.filter(GrantReply::getGranted)
			.forEach((reply) -> prefilling.add(new Running(reply, nowNanos)));
	}

	private static EngineDescriptor facts(int number) {
		boolean prefill = number % 2 == 0;
		return new EngineDescriptor("engine-" + number, prefill ? "prefill" : "decode",
				prefill ? EngineRole.PREFILL : EngineRole.DECODE, "model", Place.of("place"), "region");
	}

	private static GrantRequest request(UniformRandomProvider random, int number) {
		int tokens = 1024 + random.nextInt(8000);
		long prefix = random.nextInt(500);
		GrantRequest.Builder request = GrantRequest.newBuilder()
			.setRequestId("router-" + number)
			.setAttempt(1)
			.setCaller("caller-" + random.nextInt(410))
			.setPromptTokens(tokens)
			.setMaxTokens(96)
			.setFirstTokenRemainingMillis(1100)
			.setBetweenTokensMillis(35)
			.addPrefillPools("prefill")
			.addDecodePools("decode");
		for (int block = 0; block < tokens / 256; block++) {
			request.addPrefixHashes((block < 4) ? prefix * 1000 + block + 1 : random.nextLong());
		}
		return request.build();
	}

	private static String line(double[] row) {
		return String.format(Locale.ROOT, "%.0f,%.0f,%s,%.1f,%.1f,%.1f,%.0f,%.0f,%.0f", row[0], row[1],
				(row[2] > 0) ? "overloaded" : "normal", row[3], row[4], row[5], row[6], row[7], row[8]);
	}

	private void write() {
		List<String> lines = new ArrayList<>(List.of("# seed: " + this.seed,
				"# machine: " + Runtime.getRuntime().availableProcessors() + " cores",
				"replicas,accelerators,case,p50_micros,p99_micros,p999_micros,allocated_bytes_per_decision,live,waiting"));
		this.rows.forEach((row) -> lines.add(line(row)));
		System.setProperty("java.awt.headless", "true");
		XYChart chart = new XYChartBuilder().width(900)
			.height(540)
			.title("Decision time, 99th percentile")
			.xAxisTitle("replicas in one domain")
			.yAxisTitle("microseconds")
			.build();
		series(chart, "normal", 0);
		series(chart, "overloaded", 1);
		try {
			Files.createDirectories(this.out);
			Files.write(this.out.resolve("decision.csv"), lines);
			BitmapEncoder.saveBitmap(chart, this.out.resolve("decision.png").toString(), BitmapFormat.PNG);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void series(XYChart chart, String name, int overloaded) {
		List<double[]> chosen = this.rows.stream().filter((row) -> row[2] == overloaded).toList();
		chart.addSeries(name, chosen.stream().mapToDouble((row) -> row[0]).toArray(),
				chosen.stream().mapToDouble((row) -> row[4]).toArray());
	}

	private record Running(GrantReply reply, long grantedNanos) {
	}

}
