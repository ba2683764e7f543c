package io.balsamlane.bench;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.balsamlane.bench.load.Arrivals;
import io.balsamlane.bench.load.CallResult;
import io.balsamlane.bench.load.CallResult.Outcome;
import io.balsamlane.bench.load.CallResult.Targets;
import io.balsamlane.bench.load.LoadGenerator;
import io.balsamlane.bench.load.LoadReport;
import io.balsamlane.bench.load.ModelCall;

/**
 * Goodput, wasted prefill and bytes between regions by offered load, for each scheduling
 * policy and both deployments. The policies of one deployment see equal requests.
 */
final class GoodputExperiment extends AbstractDeploymentExperiment {

	private static final List<Double> LOADS = List.of(0.7, 0.9, 1.0, 1.3);

	private static final double SETTLE_SECONDS = 1;

	private static final int DEFAULT_SECONDS = 4;

	private static final double NANOS_PER_MILLI = 1e6;

	private final double cancelShare;

	private final ResultTable table;

	private GoodputExperiment(MeasureOptions options, double cancelShare) {
		super(options);
		this.cancelShare = cancelShare;
		this.table = ResultTable.create(options, "deployment", "policy", "load", "offered/s", "good/s", "bound/s",
				"share of bound", "complete", "refused not run", "other errors", "wrong", "cancelled", "wasted share",
				"forced waste share", "far bytes", "first token p50 ms", "first token p95 ms", "first token p99 ms",
				"mean gap p95 ms", "p95 gap p50 ms", "load tool cores", "load tool lag p99 ms", "error kinds");
	}

	/**
	 * Creates the experiment without cancellations.
	 * @param options options of the run
	 * @return the experiment
	 */
	static Experiment create(MeasureOptions options) {
		return new GoodputExperiment(options, 0);
	}

	/**
	 * Creates the experiment with 5% of the callers cancelling.
	 * @param options options of the run
	 * @return the experiment
	 */
	static Experiment createWithCancels(MeasureOptions options) {
		return new GoodputExperiment(options, 0.05);
	}

	@Override
	public void run() {
		// Both deployments run at the same time, so that one seed takes three minutes.
		CompletableFuture
			.allOf(DeploymentPlan.chosen(options())
				.stream()
				.map((plan) -> plan.withWorkload(plan.workload().withCancelShare(this.cancelShare)))
				.map((plan) -> CompletableFuture.runAsync(() -> measureAll(plan, Deployment.policies()),
						(task) -> new Thread(task, plan.name()).start()))
				.toArray(CompletableFuture[]::new))
			.join();
		plot("Requests served within both targets", "offered load / capacity", "share of the bound");
	}

	@Override
	void measure(Deployment deployment, LoadGenerator generator, String policy) {
		List<Double> loads = options().loads().isEmpty() ? LOADS : options().loads();
		List<Double> shares = loads.stream().map((load) -> measure(deployment, generator, policy, load)).toList();
		addSeries(deployment.plan().name() + " " + policy, loads, shares);
	}

	private double measure(Deployment deployment, LoadGenerator generator, String policy, double load) {
		DeploymentPlan plan = deployment.plan();
		double seconds = options().secondsOr(DEFAULT_SECONDS);
		double perSecond = load * plan.capacityPerSecond();
		Balancer balancer = deployment.balancer(options().seed());
		Deployment.EngineCounters before = deployment.counters();
		int salt = (int) Math.round(load * 1000);
		LoadReport all = load(plan, generator,
				Arrivals.poisson(random(plan, salt), perSecond, SETTLE_SECONDS + seconds), salt + 1, balancer::port);
		Deployment.EngineCounters work = deployment.counters().since(before);
		long measuredFromNanos = all.startNanos() + (long) (SETTLE_SECONDS * 1e9);
		LoadReport report = all.only((result) -> result.call().dueNanos() >= measuredFromNanos);
		Targets targets = Targets.ofDesign();
		long bound = GoodputBound.of(plan, uncancelled(report), targets, 0);
		long good = report.good(targets);
		double share = (double) good / Math.max(1, bound);
		long notRun = report.results().stream().filter(CallResult::notRun).count();
		synchronized (this.table) {
			this.table.row(plan.name(), policy, load, report.results().size() / seconds, good / seconds,
					bound / seconds, share, report.count(Outcome.COMPLETE), notRun,
					report.count(Outcome.ERROR) + report.count(Outcome.UNFINISHED) - notRun,
					report.count(Outcome.WRONG), report.count(Outcome.CANCELLED), work.wastedShare(),
					forcedTokens(plan, all) / Math.max(1, work.prefillTokens()), work.farBytes(),
					millis(report.firstToken().getValueAtPercentile(50)),
					millis(report.firstToken().getValueAtPercentile(95)),
					millis(report.firstToken().getValueAtPercentile(99)),
					millis(report.meanGap().getValueAtPercentile(95)), millis(report.p95Gap().getValueAtPercentile(50)),
					report.generatorCores(), report.generatorLagMillis(), report.errorKinds());
		}
		return share;
	}

	private static List<ModelCall> uncancelled(LoadReport report) {
		return report.results()
			.stream()
			.map(CallResult::call)
			.filter((call) -> call.cancelAfterTokens() < 0)
			.sorted(Comparator.comparingInt(ModelCall::index))
			.toList();
	}

	private static double forcedTokens(DeploymentPlan plan, LoadReport report) {
		// What an engine prefills up to a cancellation if it starts at once.
		double untilCancel = plan.engine().prefillTokensPerSecond() * LoadGenerator.EARLY_CANCEL_MILLIS / 1000.0;
		return report.results()
			.stream()
			.filter((result) -> result.outcome() == Outcome.CANCELLED && result.tokens() == 0)
			.mapToDouble((result) -> Math.min(result.call().ownTokens(), untilCancel))
			.sum();
	}

	private static double millis(long nanos) {
		return nanos / NANOS_PER_MILLI;
	}

}
