package io.balsamlane.bench;

import java.util.List;

import io.balsamlane.bench.pauses.PauseModel;
import io.balsamlane.bench.pauses.PausePlan;
import io.balsamlane.bench.pauses.PauseResult;

/**
 * Compares routers that heed the pauses that servers ask for with routers that ignore
 * them, for three sizes of the fleet, in a model.
 */
final class PauseExperiment implements Experiment {

	private static final int DEFAULT_SECONDS = 60;

	private static final double PAUSE_MILLIS = 2000;

	private static final List<Double> DEFAULT_LOADS = List.of(0.4, 0.6, 0.8);

	private final MeasureOptions options;

	private PauseExperiment(MeasureOptions options) {
		this.options = options;
	}

	/**
	 * Creates the experiment.
	 * @param options options of the run
	 * @return the experiment
	 */
	static Experiment create(MeasureOptions options) {
		return new PauseExperiment(options);
	}

	@Override
	public void run() {
		ResultTable table = ResultTable.create(this.options, "routers", "servers", "load", "pauses", "requests",
				"in target", "late", "refused", "arrivals beyond the first", "arrivals within a pause");
		for (Fleet fleet : List.of(new Fleet(7, 3), new Fleet(95, 6), new Fleet(300, 19))) {
			for (double load : this.options.loads().isEmpty() ? DEFAULT_LOADS : this.options.loads()) {
				for (boolean heed : List.of(false, true)) {
					PauseResult result = PauseModel.run(new PausePlan(fleet.routers(), fleet.servers(), 6, 42.9, 294,
							1508, load, PAUSE_MILLIS, this.options.secondsOr(DEFAULT_SECONDS), heed),
							this.options.seed());
					table.row(fleet.routers(), fleet.servers(), load, heed ? "heeded" : "ignored", result.requests(),
							result.inTarget(), result.late(), result.refused(), result.repeats(),
							result.arrivalsInPause());
				}
			}
		}
	}

	private record Fleet(int routers, int servers) {
	}

}
