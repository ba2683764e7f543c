package io.balsamlane.bench;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

import io.balsamlane.bench.load.Arrivals;
import io.balsamlane.bench.load.CallSource;
import io.balsamlane.bench.load.LoadGenerator;
import io.balsamlane.bench.load.LoadReport;
import io.balsamlane.bench.load.ModelCall;
import io.balsamlane.bench.load.RouterTransport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Common base of the experiments that run a whole deployment under several scheduling
 * policies.
 */
abstract class AbstractDeploymentExperiment implements Experiment {

	/** Load before the first figure of a policy, as a share of the capacity. */
	private static final double WARM_UP_LOAD = 0.6;

	private static final double WARM_UP_SECONDS = 4;

	/** Unfinished answers after this time can't count: they have missed a target. */
	private static final Duration DRAIN = Duration.ofSeconds(6);

	private final MeasureOptions options;

	private final Map<String, Plots.Points> series = new TreeMap<>();

	AbstractDeploymentExperiment(MeasureOptions options) {
		this.options = options;
	}

	/**
	 * Starts a deployment and measures each policy in it, with new routers for each.
	 * @param plan the deployment
	 * @param defaultPolicies policies to measure if none was asked for
	 */
	void measureAll(DeploymentPlan plan, List<String> defaultPolicies) {
		LoadGenerator generator = LoadGenerator.create(1);
		try (Deployment deployment = Deployment.start(plan)) {
			List<String> policies = this.options.policies().isEmpty() ? defaultPolicies : this.options.policies();
			for (String policy : policies) {
				deployment.startRouters(policy);
				Balancer balancer = deployment.balancer(this.options.seed());
				load(plan, generator,
						Arrivals.poisson(random(plan, 1), WARM_UP_LOAD * plan.capacityPerSecond(), WARM_UP_SECONDS), 2,
						balancer::port);
				measure(deployment, generator, policy);
				deployment.stopRouters();
			}
		}
		finally {
			generator.stop();
		}
	}

	/**
	 * Measures one policy, after a warm-up.
	 * @param deployment the running deployment
	 * @param generator the load generator
	 * @param policy the policy of the running routers
	 */
	abstract void measure(Deployment deployment, LoadGenerator generator, String policy);

	LoadReport load(DeploymentPlan plan, LoadGenerator generator, long[] arrivals, int salt,
			ToIntFunction<ModelCall> routerPorts) {
		return generator.openLoop(arrivals, CallSource.create(plan.workload(), random(plan, salt)),
				RouterTransport.create(routerPorts::applyAsInt), DRAIN);
	}

	/**
	 * Returns a random source that is equal for all policies of a deployment.
	 * @param plan the deployment
	 * @param salt distinguishes the sources of one experiment
	 * @return the source
	 */
	UniformRandomProvider random(DeploymentPlan plan, int salt) {
		return RandomSource.XO_RO_SHI_RO_128_PP
			.create(this.options.seed() * 1_000_003 + plan.name().hashCode() * 31L + salt);
	}

	MeasureOptions options() {
		return this.options;
	}

	void addSeries(String name, List<Double> x, List<Double> y) {
		synchronized (this.series) {
			this.series.put(name, new Plots.Points(x, y));
		}
	}

	void plot(String title, String xTitle, String yTitle) {
		Plots.write(this.options.file(".png"), title, xTitle, yTitle, this.series);
	}

}
