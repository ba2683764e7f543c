package io.balsamlane.bench;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

import io.balsamlane.bench.load.Arrivals;
import io.balsamlane.bench.load.CallResult;
import io.balsamlane.bench.load.CallResult.Targets;
import io.balsamlane.bench.load.LoadGenerator;
import io.balsamlane.bench.load.LoadReport;
import io.balsamlane.bench.load.ModelCall;

/**
 * Requests served within both targets in the 5 s after the load has tripled.
 */
final class SwingExperiment extends AbstractDeploymentExperiment {

	private static final double LOAD_BEFORE = 0.45;

	private static final int PEAK_SECONDS = 5;

	private static final int DEFAULT_SECONDS_BEFORE = 5;

	private final ResultTable table;

	private SwingExperiment(MeasureOptions options) {
		super(options);
		this.table = ResultTable.create(options, "deployment", "policy", "load before", "load after", "arrived in 5 s",
				"good", "bound", "share of bound", "refused not run", "other errors", "wasted share", "error kinds");
	}

	/**
	 * Creates the experiment.
	 * @param options options of the run
	 * @return the experiment
	 */
	static Experiment create(MeasureOptions options) {
		return new SwingExperiment(options);
	}

	@Override
	public void run() {
		DeploymentPlan.chosen(options()).forEach((plan) -> measureAll(plan, Deployment.policies()));
		plot("Requests served within both targets around a threefold step", "s from the step", "share");
	}

	@Override
	void measure(Deployment deployment, LoadGenerator generator, String policy) {
		DeploymentPlan plan = deployment.plan();
		int before = options().secondsOr(DEFAULT_SECONDS_BEFORE);
		Balancer balancer = deployment.balancer(options().seed());
		Deployment.EngineCounters counters = deployment.counters();
		LoadReport all = load(plan, generator, Arrivals.threefoldStep(random(plan, 11),
				LOAD_BEFORE * plan.capacityPerSecond(), before, before + PEAK_SECONDS), 12, balancer::port);
		long stepNanos = all.startNanos() + before * 1_000_000_000L;
		LoadReport peak = all.only((result) -> result.call().dueNanos() >= stepNanos);
		List<ModelCall> calls = peak.results()
			.stream()
			.map(CallResult::call)
			.sorted(Comparator.comparingInt(ModelCall::index))
			.toList();
		long bound = GoodputBound.of(plan, calls, Targets.ofDesign(), 1 - LOAD_BEFORE);
		long good = peak.good(Targets.ofDesign());
		long notRun = peak.results().stream().filter(CallResult::notRun).count();
		this.table.row(plan.name(), policy, LOAD_BEFORE, 3 * LOAD_BEFORE, calls.size(), good, bound,
				(double) good / Math.max(1, bound), notRun,
				peak.count(CallResult.Outcome.ERROR) + peak.count(CallResult.Outcome.UNFINISHED) - notRun,
				deployment.counters().since(counters).wastedShare(), peak.errorKinds());
		List<Double> seconds = IntStream.range(-before, PEAK_SECONDS).mapToObj((second) -> second + 0.5).toList();
		addSeries(plan.name() + " " + policy, seconds,
				seconds.stream().map((middle) -> share(all, stepNanos + (long) (middle * 1e9))).toList());
	}

	private static double share(LoadReport report, long middleNanos) {
		return report.only((result) -> Math.abs(result.call().dueNanos() - middleNanos) < 500_000_000L)
			.goodShare(Targets.ofDesign());
	}

}
