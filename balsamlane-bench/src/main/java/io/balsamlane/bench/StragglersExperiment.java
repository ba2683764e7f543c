package io.balsamlane.bench;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import io.balsamlane.bench.load.Arrivals;
import io.balsamlane.bench.load.CallSource;
import io.balsamlane.bench.load.LoadGenerator;
import io.balsamlane.bench.load.LoadReport;
import io.balsamlane.bench.load.ModelTransport;
import io.balsamlane.bench.load.RouterTransport;
import io.balsamlane.bench.load.Workload;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;

/**
 * 99th percentile of plain-service reads and of short model answers with one in three
 * replicas slowed down fivefold, against the same requests with none slowed down.
 */
final class StragglersExperiment extends AbstractDeploymentExperiment {

	private static final double SLOW_FACTOR = 5;

	private static final int SERVICE_MILLIS = 5;

	private static final int REQUESTS_PER_SECOND = 90;

	/** Of this many requests one is a note, the others are reads. */
	private static final int NOTES_ONE_IN = 3;

	private static final int DEFAULT_SECONDS = 10;

	private static final int SETTLE_SECONDS = 4;

	private static final double NANOS_PER_MILLI = 1e6;

	private final ResultTable table;

	private StragglersExperiment(MeasureOptions options) {
		super(options);
		this.table = ResultTable.create(options, "deployment", "policy", "requests", "p99 ms none slowed",
				"p99 ms one in three slowed", "ratio", "p50 ms none slowed", "p50 ms one in three slowed",
				"errors none slowed", "errors one in three slowed", "load tool lag p99 ms none slowed",
				"load tool lag p99 ms one in three slowed");
	}

	/**
	 * Creates the experiment.
	 * @param options options of the run
	 * @return the experiment
	 */
	static Experiment create(MeasureOptions options) {
		return new StragglersExperiment(options);
	}

	@Override
	public void run() {
		DeploymentPlan.chosen(options())
			.stream()
			.map((plan) -> plan.withWorkload(notes(plan.workload())))
			.forEach((plan) -> measureAll(plan, Deployment.policies()));
		plot("Latency with one in three replicas slowed down fivefold", "percentile", "ms");
	}

	private static Workload notes(Workload workload) {
		return new Workload(workload.model(), workload.callers(), 4, 256, 300, 0.4, 24, 0);
	}

	@Override
	void measure(Deployment deployment, LoadGenerator generator, String policy) {
		setFactor(deployment, 1);
		LoadReport before = load(deployment, generator);
		setFactor(deployment, SLOW_FACTOR);
		LoadReport slowed = load(deployment, generator);
		setFactor(deployment, 1);
		row(deployment, policy, "reads", reads(before), reads(slowed));
		row(deployment, policy, "notes", notes(before), notes(slowed));
	}

	private void setFactor(Deployment deployment, double factor) {
		List<String> engines = deployment.engineNames();
		IntStream.range(0, engines.size() / 3)
			.forEach((i) -> deployment.fleet().faults(engines.get(3 * i), new JsonObject().put("slowFactor", factor)));
		deployment.fleet()
			.faults(Deployment.serviceName(0),
					new JsonObject().put("serviceTimeMillis", (long) (SERVICE_MILLIS * factor)));
	}

	private LoadReport load(Deployment deployment, LoadGenerator generator) {
		DeploymentPlan plan = deployment.plan();
		Balancer balancer = deployment.balancer(options().seed());
		ModelTransport notes = RouterTransport.create(balancer::port);
		ModelTransport reads = new ServiceTransport(plan.service(), plan.read(), balancer::port);
		ModelTransport mixed = (client, call, listener) -> ((call.index() % NOTES_ONE_IN == 0) ? notes : reads)
			.send(client, call, listener);
		LoadReport report = generator.openLoop(
				Arrivals.poisson(random(plan, 21), REQUESTS_PER_SECOND,
						SETTLE_SECONDS + options().secondsOr(DEFAULT_SECONDS)),
				CallSource.create(plan.workload(), random(plan, 22)), mixed, Duration.ofSeconds(10));
		long fromNanos = report.startNanos() + SETTLE_SECONDS * 1_000_000_000L;
		return report.only((result) -> result.call().dueNanos() >= fromNanos);
	}

	private static LoadReport reads(LoadReport report) {
		return report.only((result) -> result.call().index() % NOTES_ONE_IN != 0);
	}

	private static LoadReport notes(LoadReport report) {
		return report.only((result) -> result.call().index() % NOTES_ONE_IN == 0);
	}

	private void row(Deployment deployment, String policy, String what, LoadReport before, LoadReport slowed) {
		double p99Before = millis(before.total(), 99);
		double p99Slowed = millis(slowed.total(), 99);
		this.table.row(deployment.plan().name(), policy, what, p99Before, p99Slowed, p99Slowed / p99Before,
				millis(before.total(), 50), millis(slowed.total(), 50), before.errorKinds(), slowed.errorKinds(),
				before.generatorLagMillis(), slowed.generatorLagMillis());
		List<Double> percentiles = IntStream.rangeClosed(1, 199).mapToObj((i) -> i / 2.0).toList();
		String name = deployment.plan().name() + " " + policy + " " + what;
		addSeries(name, percentiles, percentiles.stream().map((p) -> millis(slowed.total(), p)).toList());
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
	}

}
