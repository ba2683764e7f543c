package io.balsamlane.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.balsamlane.bench.load.Arrivals;
import io.balsamlane.bench.load.CallResult.Targets;
import io.balsamlane.bench.load.LoadGenerator;
import io.balsamlane.bench.load.LoadReport;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.scheduling.DomainId;
import io.balsamlane.standin.fleet.RouterProcess;

/**
 * Time until goodput is back after the router of the largest place's scheduler, or a
 * router without a scheduler, is killed at 0.9 of the capacity.
 * <p>
 * The balancer stops sending to the killed router after the time that a health check
 * takes; requests that it sends there before count as not served.
 */
final class RecoveryExperiment extends AbstractDeploymentExperiment {

	private static final double LOAD = 0.9;

	private static final int DEFAULT_SECONDS_AFTER = 10;

	private static final int SECONDS_BEFORE = 6;

	private static final int BALANCER_NOTICE_MILLIS = 500;

	private static final long WINDOW_NANOS = 1_000_000_000L;

	private static final long STEP_NANOS = 100_000_000L;

	private static final double WITHIN = 0.95;

	private final ResultTable table;

	private RecoveryExperiment(MeasureOptions options) {
		super(options);
		this.table = ResultTable.create(options, "deployment", "policy", "killed", "good share before",
				"lowest good share in 1 s", "seconds until within 5%", "lost requests", "error kinds");
	}

	/**
	 * Creates the experiment.
	 * @param options options of the run
	 * @return the experiment
	 */
	static Experiment create(MeasureOptions options) {
		return new RecoveryExperiment(options);
	}

	@Override
	public void run() {
		List<String> policies = List.of(Deployment.policies().get(0));
		DeploymentPlan.chosen(options()).forEach((plan) -> measureAll(plan, policies));
		plot("Requests served within both targets around a kill", "s from the kill", "share of 1 s windows");
	}

	@Override
	void measure(Deployment deployment, LoadGenerator generator, String policy) {
		kill(deployment, generator, policy, true);
		deployment.stopRouters();
		deployment.startRouters(policy);
		kill(deployment, generator, policy, false);
	}

	private void kill(Deployment deployment, LoadGenerator generator, String policy, boolean scheduler) {
		DeploymentPlan plan = deployment.plan();
		int after = options().secondsOr(DEFAULT_SECONDS_AFTER);
		String victim = victim(deployment, scheduler);
		RouterProcess router = deployment.fleet().router(victim);
		Balancer balancer = deployment.balancer(options().seed());
		long startNanos = System.nanoTime();
		CompletableFuture<Long> killed = CompletableFuture.supplyAsync(() -> {
			router.process().kill();
			long killNanos = System.nanoTime();
			CompletableFuture.delayedExecutor(BALANCER_NOTICE_MILLIS, TimeUnit.MILLISECONDS)
				.execute(() -> balancer.remove(router.callerPort()));
			return killNanos;
		}, CompletableFuture.delayedExecutor(SECONDS_BEFORE, TimeUnit.SECONDS));
		LoadReport report = load(plan, generator,
				Arrivals.poisson(random(plan, 31), LOAD * plan.capacityPerSecond(), SECONDS_BEFORE + after), 32,
				balancer::port);
		long killNanos = killed.join();
		double before = report
			.only((result) -> result.call().dueNanos() > startNanos + WINDOW_NANOS
					&& result.call().dueNanos() < killNanos - WINDOW_NANOS)
			.goodShare(Targets.ofDesign());
		List<Double> seconds = new ArrayList<>();
		List<Double> shares = new ArrayList<>();
		for (long from = 0; from + WINDOW_NANOS <= after * 1_000_000_000L; from += STEP_NANOS) {
			seconds.add(from / 1e9);
			shares.add(share(report, killNanos + from));
		}
		int lastLow = IntStream.range(0, shares.size()).filter((i) -> shares.get(i) < WITHIN * before).max().orElse(-1);
		boolean recovered = lastLow < shares.size() - 1;
		String name = scheduler ? "scheduler" : "router";
		this.table.row(plan.name(), policy, name + " " + victim, before,
				shares.stream().mapToDouble(Double::doubleValue).min().orElse(0),
				recovered ? (lastLow + 1) * STEP_NANOS / 1e9 : "not within " + after,
				report.results().stream().filter((result) -> !result.errorKind().isEmpty()).count(),
				report.errorKinds());
		addSeries(plan.name() + " " + name, seconds, shares);
	}

	private static double share(LoadReport report, long fromNanos) {
		return report
			.only((result) -> result.call().dueNanos() >= fromNanos
					&& result.call().dueNanos() < fromNanos + WINDOW_NANOS)
			.goodShare(Targets.ofDesign());
	}

	private static String victim(Deployment deployment, boolean scheduler) {
		DeploymentPlan plan = deployment.plan();
		List<Member> members = plan.routers()
			.entrySet()
			.stream()
			.flatMap((entry) -> entry.getValue()
				.stream()
				.map((name) -> new Member(HostName.of(name), 1, Place.of(entry.getKey().place()),
						Endpoint.of("127.0.0.1", 1))))
			.toList();
		MemberView view = new MemberView(members.get(0), members);
		List<String> owners = plan.places()
			.stream()
			.map((place) -> view.owner(new DomainId(plan.workload().model(), Place.of(place.place())).ownerKey(),
					Place.of(place.place())))
			.map((owner) -> owner.orElseThrow().host().value())
			.toList();
		return scheduler ? owners.get(0)
				: members.stream()
					.map((member) -> member.host().value())
					.filter((name) -> !owners.contains(name))
					.findFirst()
					.orElseThrow();
	}

}
