package io.balsamlane.bench.scheduling;

import java.util.List;
import java.util.Locale;

/**
 * Prints the results of the scheduling model for the scheduler and all baseline policies.
 */
public final class ModelMain {

	private static final List<String> POLICIES = List.of("scheduler", "two_choices", "least_outstanding", "round_robin",
			"random");

	private ModelMain() {
	}

	/**
	 * Run the model and print its results as CSV.
	 * @param args the random seed as the only argument
	 */
	public static void main(String[] args) {
		long seed = Long.parseLong(args[0]);
		printQuota(seed);
		System.out.println(
				"model figures: policy,case,offered,served,bound,share,refused,late,wasted,swing,ttft99," + "total99");
		POLICIES.forEach((policy) -> {
			List.of(0.5, 0.7, 0.9, 1.0, 1.3, 2.0)
				.forEach((load) -> print("load " + load, ModelPlan.of(policy, load), seed));
			List.of(0.7, 0.9)
				.forEach((load) -> print("load " + load + " 7 routers alone", ModelPlan.of(policy, load).withRouters(7),
						seed));
			print("swing 0.5 to 1.5", ModelPlan.of(policy, 0.5).withSwing(3), seed);
			print("fast 6+6 at 0.4", ModelPlan.of(policy, 0.4).withSlow(6, 6, 0), seed);
			print("slow 2 of 6 at 0.4", ModelPlan.of(policy, 0.4).withSlow(6, 6, 0.34), seed);
		});
	}

	private static void printQuota(long seed) {
		System.out.println("model figures: case,seconds,store reads/s,store writes/s,conflicts/s");
		System.out.println(QuotaStoreModel.run("50 requests/s each", 7, 4, 50, 0, seed));
		System.out.println(QuotaStoreModel.run("50 requests/s slices of 1 s", 7, 4, 50, 1, seed));
		System.out.println(QuotaStoreModel.run("5500 requests/s each", 400, 410, 5500, 0, seed));
		System.out.println(QuotaStoreModel.run("5500 requests/s slices of 1 s", 400, 410, 5500, 1, seed));
	}

	private static void print(String name, ModelPlan plan, long seed) {
		ModelResult result = SchedulingModel.run(plan, seed);
		double bound = Math.min(result.offered(), plan.capacityPerSecond() * plan.seconds());
		System.out.printf(Locale.ROOT, "%s,%s,%d,%d,%.0f,%.3f,%d,%d,%.4f,%d/%d,%.0f,%.0f%n", plan.policy(), name,
				result.offered(), result.served(), bound, result.served() / bound, result.refused(), result.late(),
				result.wastedShare(), result.swingServed(), result.swingOffered(), result.p99FirstTokenMillis(),
				result.p99TotalMillis());
	}

}
