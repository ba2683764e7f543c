package io.balsamlane.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

import org.HdrHistogram.Histogram;

/**
 * Store writes and added latency of three ways to record non-repeatable calls.
 * <p>
 * Everything runs in this process in virtual time: the store is a model with 500 writes/s
 * and 2 to 6 ms for each call, because a real stand-in would measure this machine at
 * 5,500 calls/s. The shard writers are those of the product.
 */
final class RecordsExperiment implements Experiment {

	private static final int[] CALLS_PER_SECOND = { 50, 500, 5500 };

	private static final int SEEDS = 3;

	private static final int SECONDS = 20;

	private static final double MICROS_PER_MILLI = 1000.0;

	private final MeasureOptions options;

	private RecordsExperiment(MeasureOptions options) {
		this.options = options;
	}

	static RecordsExperiment create(MeasureOptions options) {
		return new RecordsExperiment(options);
	}

	@Override
	public void run() {
		ResultTable table = ResultTable.create(this.options, "mechanism", "calls_per_second", "seed", "decided",
				"refused", "writes_per_second", "reads_per_second", "writes_per_call", "added_p50_millis",
				"added_p99_millis", "largest_value_bytes");
		Map<String, Plots.Points> series = new LinkedHashMap<>();
		for (RecordsModel.Mechanism mechanism : RecordsModel.Mechanism.values()) {
			List<Double> rates = new ArrayList<>();
			List<Double> writes = new ArrayList<>();
			for (int rate : CALLS_PER_SECOND) {
				double sum = LongStream.range(0, SEEDS)
					.map((index) -> this.options.seed() + index)
					.mapToDouble((seed) -> row(table, mechanism, rate, seed))
					.sum();
				rates.add(Math.log10(rate));
				writes.add(sum / SEEDS);
			}
			series.put(mechanism.name().toLowerCase(java.util.Locale.ROOT), new Plots.Points(rates, writes));
		}
		Plots.write(this.options.file(".png"), "Store writes to record non-repeatable calls", "log10 of calls/s",
				"store writes/s", series);
	}

	private double row(ResultTable table, RecordsModel.Mechanism mechanism, int rate, long seed) {
		RecordsModel model = RecordsModel.create(mechanism, rate, SECONDS, seed);
		model.run();
		Histogram added = model.addedMicros();
		double writesPerSecond = model.writes() / (double) SECONDS;
		table.row(mechanism.name().toLowerCase(java.util.Locale.ROOT), rate, seed, added.getTotalCount(),
				model.refused(), writesPerSecond, model.reads() / (double) SECONDS,
				model.writes() / (double) (rate * SECONDS), added.getValueAtPercentile(50) / MICROS_PER_MILLI,
				added.getValueAtPercentile(99) / MICROS_PER_MILLI, model.largestValueBytes());
		return writesPerSecond;
	}

}
