package io.balsamlane.bench;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.LongSupplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.balsamlane.bench.Plots.Points;
import io.balsamlane.bench.TrackerGroup.Way;
import io.balsamlane.core.configuration.ConfigurationDelta;
import io.balsamlane.core.configuration.PullResult;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.routing.ReachabilityReport;
import io.balsamlane.core.routing.Route;
import io.balsamlane.core.routing.RouteTable;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Configuration;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures three ways to bring a revision to all nodes (store calls, bytes, time to
 * converge on a simulated clock), and the size and cost of a document at the design scale
 * (wall clock).
 */
final class ConfigurationExperiment implements Experiment {

	private static final int[] SIZES = { 7, 25, 100, 400 };

	private static final int CHANGES = 30;

	private static final int SECONDS_PER_CHANGE = 12;

	private static final int START_SECONDS = 10;

	private static final int IDLE_SECONDS = 600;

	private static final int WARM_RESOLVES = 200_000;

	private static final int RESOLVES = 500_000;

	private static final int REPEATS = 50;

	private final MeasureOptions options;

	private ConfigurationExperiment(MeasureOptions options) {
		this.options = options;
	}

	/**
	 * Creates the experiment.
	 * @param options options of the run
	 * @return the experiment
	 */
	static ConfigurationExperiment create(MeasureOptions options) {
		return new ConfigurationExperiment(options);
	}

	/**
	 * Creates the experiment.
	 * @param seed seed of the random sources
	 * @param out directory for the files
	 * @return the experiment
	 */
	static ConfigurationExperiment create(long seed, Path out) {
		return create(new MeasureOptions("configuration", seed, out, OptionalInt.empty(), List.of(), List.of(),
				List.of(), "ConfigurationExperiment --seed " + seed));
	}

	@Override
	public void run() {
		Configuration document = FullSizeDocument.configuration();
		ResultTable ways = ResultTable.create(this.options, "way", "nodes", "cold start store calls",
				"cold start peak calls/s", "idle store calls/s", "store calls per change and node",
				"store bytes per change", "peer bytes per change", "most bytes sent by one node per change", "p50 ms",
				"p99 ms", "max ms", "converged");
		Map<String, Points> series = new LinkedHashMap<>();
		for (Way way : Way.values()) {
			Points points = new Points(new ArrayList<>(), new ArrayList<>());
			for (int size : SIZES) {
				points.x().add((double) size);
				points.y().add(measure(ways, way, size, document));
			}
			series.put(way.name().toLowerCase(Locale.ROOT), points);
		}
		Plots.write(this.options.file(".png"), "Time until the last node has a change", "nodes", "ms", series);
		ResultTable cost = ResultTable.create(
				new MeasureOptions(this.options.name() + "-document", this.options.seed(), this.options.out(),
						OptionalInt.empty(), List.of(), List.of(), List.of(), this.options.command()),
				"what", "unit", "p50", "p99", "max");
		sizes(cost, document);
		times(cost, document);
	}

	private double measure(ResultTable table, Way way, int size, Configuration document) {
		TrackerGroup group = new TrackerGroup(this.options.seed(), size, way, document);
		group.runSeconds(START_SECONDS);
		boolean converged = group.converged();
		long coldCalls = group.storeCalls();
		int coldPeak = group.peakStoreCallsPerSecond();
		group.resetCounters();
		group.runSeconds(IDLE_SECONDS);
		double idleCalls = (double) group.storeCalls() / IDLE_SECONDS;
		group.resetCounters();
		Configuration current = document;
		for (int change = 0; change < CHANGES; change++) {
			current = FullSizeDocument.next(current);
			group.accept(current);
			group.runSeconds(SECONDS_PER_CHANGE);
			converged &= group.converged();
		}
		Histogram times = group.convergenceMillis();
		double changeCalls = group.storeCalls() - idleCalls * CHANGES * SECONDS_PER_CHANGE;
		table.row(way.name().toLowerCase(Locale.ROOT), size, coldCalls, coldPeak, idleCalls,
				Math.max(0, changeCalls / CHANGES / size), group.storeBytes() / CHANGES, group.peerBytes() / CHANGES,
				group.mostBytesSentByOneNode() / CHANGES, times.getValueAtPercentile(50),
				times.getValueAtPercentile(99), times.getMaxValue(), converged);
		return times.getMaxValue();
	}

	private static void sizes(ResultTable table, Configuration document) {
		Configuration next = FullSizeDocument.next(document);
		long withoutHistory = next.toBuilder().clearChanges().build().getSerializedSize();
		long delta = ConfigurationDelta.since(next, 1, document.getRevision()).build().getSerializedSize();
		long all = next.getSerializedSize();
		table.row("document", "bytes", all, all, all);
		table.row("document without history", "bytes", withoutHistory, withoutHistory, withoutHistory);
		table.row("pull of one change", "bytes", delta, delta, delta);
	}

	private void times(ResultTable table, Configuration document) {
		HostList hosts = FullSizeDocument.hosts();
		byte[] bytes = document.toByteArray();
		Configuration next = FullSizeDocument.next(document);
		var update = ConfigurationDelta.since(next, ConfigurationDelta.digest(next), document.getRevision()).build();
		repeat(table, "parse document", () -> parse(bytes).getRevision());
		repeat(table, "digest", () -> ConfigurationDelta.digest(document));
		repeat(table, "rebuild from changes with digest",
				() -> (ConfigurationDelta.apply(document, update) instanceof PullResult.Received) ? 1 : 0);
		repeat(table, "edit", () -> FullSizeDocument.next(document).getRevision());
		repeat(table, "compile route table",
				() -> RouteTable.of(document, hosts, Place.of(FullSizeDocument.place(0)), FullSizeDocument.region(0))
					.revision());
		repeat(table, "reach report", () -> ReachabilityReport.of(document, hosts).selectors().size());
		resolve(table, document, hosts);
	}

	private static Configuration parse(byte[] bytes) {
		try {
			return Configuration.parseFrom(bytes);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void repeat(ResultTable table, String what, LongSupplier body) {
		Histogram micros = new Histogram(3);
		long sum = 0;
		for (int round = 0; round < 2 * REPEATS; round++) {
			long beganNanos = System.nanoTime();
			sum += body.getAsLong();
			if (round >= REPEATS) {
				micros.recordValue((System.nanoTime() - beganNanos) / 1000);
			}
		}
		table.row((sum != 0) ? what : what + " (empty)", "us", micros.getValueAtPercentile(50),
				micros.getValueAtPercentile(99), micros.getMaxValue());
	}

	private void resolve(ResultTable table, Configuration document, HostList hosts) {
		RouteTable routes = RouteTable.of(document, hosts, Place.of(FullSizeDocument.place(0)),
				FullSizeDocument.region(0));
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(this.options.seed());
		List<Caller> callers = document.getCallersList();
		Histogram nanos = new Histogram(3);
		int found = 0;
		for (int round = 0; round < WARM_RESOLVES + RESOLVES; round++) {
			Caller caller = callers.get(random.nextInt(FullSizeDocument.CALLERS));
			String model = FullSizeDocument.model(random.nextInt(FullSizeDocument.MODELS));
			long beganNanos = System.nanoTime();
			Route route = routes.modelRoute(caller, model);
			long elapsedNanos = System.nanoTime() - beganNanos;
			found += (route instanceof Route.ToEngines) ? 1 : 0;
			if (round >= WARM_RESOLVES) {
				nanos.recordValue(elapsedNanos);
			}
		}
		table.row("resolve model request", "ns", nanos.getValueAtPercentile(50), nanos.getValueAtPercentile(99),
				nanos.getMaxValue());
		table.row("resolved with a route", "of " + (WARM_RESOLVES + RESOLVES), found, found, found);
	}

}
