package io.balsamlane.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.vertx.core.Vertx;

/**
 * Cost and speed of the membership by number of nodes, fitted with a line and
 * extrapolated to the design scale.
 */
final class SlopesExperiment implements Experiment {

	private static final List<Integer> SIZES = List.of(7, 25, 50, 100, 200);

	private static final int DESIGN_NODES = 400;

	private static final int KILLS = 4;

	private static final int REVISIONS = 3;

	private static final int WARM_UP_NODES = 7;

	private static final long SETTLE_WINDOW_MILLIS = 2_000;

	private static final int SETTLE_WINDOWS = 30;

	/**
	 * Half of what a node may send for membership and all else; idle probes need a
	 * quarter.
	 */
	private static final long SETTLED_BYTES_PER_SECOND = 1_500;

	private static final long LIMIT_MILLIS = 20_000;

	private final MeasureOptions options;

	private final ResultTable table;

	private final Map<String, Plots.Points> points = new LinkedHashMap<>();

	private SlopesExperiment(MeasureOptions options) {
		this.options = options;
		this.table = ResultTable.create(options, "nodes", "measure", "value", "detail");
	}

	/**
	 * Creates the experiment.
	 * @param options options of the run
	 * @return the experiment
	 */
	static Experiment create(MeasureOptions options) {
		return new SlopesExperiment(options);
	}

	@Override
	public void run() {
		Vertx vertx = Vertx.vertx();
		try {
			// Loads the classes, which would count as memory of the first nodes.
			PeerFleet warmUp = PeerFleet.create(vertx, WARM_UP_NODES, this.options.seed());
			warmUp.awaitAgreement(LIMIT_MILLIS);
			warmUp.stop();
			SIZES.forEach((nodes) -> measure(vertx, nodes));
		}
		finally {
			vertx.close().toCompletionStage().toCompletableFuture().join();
		}
		this.points.forEach(this::extrapolate);
	}

	private void measure(Vertx vertx, int size) {
		long emptyBytes = reachableBytes();
		PeerFleet fleet = PeerFleet.create(vertx, size, this.options.seed());
		try {
			add(size, "agreement after the start, ms", fleet.awaitAgreement(LIMIT_MILLIS), "");
			settle(fleet);
			steady(fleet, size);
			add(size, "reachable heap per node, KiB", (reachableBytes() - emptyBytes) / 1024.0 / size, "");
			double revisionMillis = 0;
			for (int revision = 1; revision <= REVISIONS; revision++) {
				revisionMillis = Math.max(revisionMillis, fleet.announce(revision, LIMIT_MILLIS));
				PeerFleet.sleep(500);
			}
			add(size, "revision known everywhere, ms", revisionMillis, "slowest of " + REVISIONS);
			kills(fleet, size);
			partition(fleet, size);
		}
		finally {
			fleet.stop();
		}
	}

	// Waits until statements about the start are no longer passed on.
	private static void settle(PeerFleet fleet) {
		for (int i = 0; i < SETTLE_WINDOWS; i++) {
			long startBytes = fleet.usage().sentBytes();
			PeerFleet.sleep(SETTLE_WINDOW_MILLIS);
			long bytes = fleet.usage().sentBytes() - startBytes;
			if (bytes * 1_000 / SETTLE_WINDOW_MILLIS / fleet.nodes().size() < SETTLED_BYTES_PER_SECOND) {
				return;
			}
		}
	}

	private void steady(PeerFleet fleet, int size) {
		PeerFleet.Usage before = fleet.usage();
		PeerFleet.sleep(this.options.secondsOr(10) * 1_000L);
		PeerFleet.Usage after = fleet.usage();
		double seconds = (after.nanos() - before.nanos()) / 1e9;
		double nodeSeconds = seconds * size;
		String detail = String.format(Locale.ROOT, "%.1f s", seconds);
		add(size, "sent per node, bytes/s", (after.sentBytes() - before.sentBytes()) / nodeSeconds, detail);
		add(size, "received per node, bytes/s", (after.receivedBytes() - before.receivedBytes()) / nodeSeconds, detail);
		add(size, "share of a core per node, %", (after.cpuNanos() - before.cpuNanos()) / 1e7 / nodeSeconds, detail);
		add(size, "member tables over TCP per node, bytes/s",
				(after.synchronizedBytes() - before.synchronizedBytes()) / nodeSeconds, detail);
		add(size, "false removals", after.removals() - before.removals(),
				detail + "; suspicions " + (after.suspicions() - before.suspicions()));
	}

	private void kills(PeerFleet fleet, int size) {
		List<Double> millis = new ArrayList<>();
		for (int i = 0; i < Math.min(KILLS, size / 3); i++) {
			millis.addAll(fleet.kill(size - 1 - i, LIMIT_MILLIS));
			// Not a multiple of the probe interval, so that kills hit different phases.
			PeerFleet.sleep(1_130);
		}
		List<Double> sorted = millis.stream().sorted().toList();
		add(size, "removal of a killed node, median, ms", sorted.get(sorted.size() / 2),
				sorted.size() + " removals by survivors");
		add(size, "removal of a killed node, max, ms", sorted.get(sorted.size() - 1),
				sorted.size() + " removals by survivors");
	}

	private void partition(PeerFleet fleet, int size) {
		double splitMillis = fleet.partition(2 * LIMIT_MILLIS);
		PeerFleet.sleep(1_000);
		PeerFleet.Usage before = fleet.usage();
		fleet.heal();
		double agreedMillis = fleet.awaitAgreement(LIMIT_MILLIS);
		PeerFleet.Usage after = fleet.usage();
		int left = fleet.nodes().size();
		add(size, "agreement after a partition heals, ms", agreedMillis,
				String.format(Locale.ROOT, "%d nodes, split seen by all after %.0f ms", left, splitMillis));
		add(size, "sent per node while healing, KiB", (after.sentBytes() - before.sentBytes()) / 1024.0 / left,
				String.format(Locale.ROOT, "member tables %.1f KiB",
						(after.synchronizedBytes() - before.synchronizedBytes()) / 1024.0 / left));
	}

	private void add(int nodes, String measure, double value, String detail) {
		this.table.row(nodes, measure, value, detail);
		Plots.Points series = this.points.computeIfAbsent(measure,
				(name) -> new Plots.Points(new ArrayList<>(), new ArrayList<>()));
		series.x().add((double) nodes);
		series.y().add(value);
	}

	// Least squares over the sizes.
	private void extrapolate(String measure, Plots.Points measured) {
		int count = measured.x().size();
		double meanX = measured.x().stream().mapToDouble(Double::doubleValue).sum() / count;
		double meanY = measured.y().stream().mapToDouble(Double::doubleValue).sum() / count;
		double covariance = 0;
		double variance = 0;
		for (int i = 0; i < count; i++) {
			covariance += (measured.x().get(i) - meanX) * (measured.y().get(i) - meanY);
			variance += (measured.x().get(i) - meanX) * (measured.x().get(i) - meanX);
		}
		double slope = covariance / variance;
		double start = meanY - slope * meanX;
		this.table.row(DESIGN_NODES, measure, start + slope * DESIGN_NODES,
				String.format(Locale.ROOT, "extrapolated: %.3f + %.4f * nodes", start, slope));
		List<Double> ends = List.of((double) SIZES.get(0), (double) DESIGN_NODES);
		Plots.write(this.options.file("-" + measure.replaceAll("[^a-z]+", "-").replaceAll("-$", "") + ".png"),
				"Membership: " + measure, "nodes", measure, Map.of("measured", measured, "fitted line",
						new Plots.Points(ends, ends.stream().map((x) -> start + slope * x).toList())));
	}

	private static long reachableBytes() {
		for (int i = 0; i < 3; i++) {
			System.gc();
			PeerFleet.sleep(100);
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
