package io.balsamlane.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.balsamlane.schema.SchedulingSettings;
import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.RouterProcess;
import io.vertx.core.json.JsonObject;

/**
 * Running processes of a deployment plan.
 */
final class Deployment implements AutoCloseable {

	private static final int SERVICE_REPLICAS = 3;

	private static final List<String> POLICIES = List.of("scheduler", "two_choices", "least_outstanding", "round_robin",
			"random");

	private final DeploymentPlan plan;

	private final Fleet fleet;

	private Deployment(DeploymentPlan plan, Fleet fleet) {
		this.plan = plan;
		this.fleet = fleet;
	}

	/**
	 * Starts the stand-ins of a plan.
	 * @param plan the plan
	 * @return the deployment, without routers
	 */
	static Deployment start(DeploymentPlan plan) {
		Deployment deployment = new Deployment(plan, Fleet.create(200));
		Stream<Runnable> engines = plan.places().stream().flatMap((place) -> deployment.engines(place));
		Stream<Runnable> services = IntStream.range(0, SERVICE_REPLICAS).mapToObj((i) -> () -> {
			DeploymentPlan.PlacePlan place = plan.places().get(i);
			deployment.fleet.service(serviceName(i), plan.service(), place.place(), place.region());
		});
		inParallel(Stream.concat(engines, services));
		return deployment;
	}

	private Stream<Runnable> engines(DeploymentPlan.PlacePlan place) {
		String[] options = this.plan.engineOptions(place);
		return Stream.of(
				() -> this.fleet.engines("prefill-" + place.place(), "prefill-" + place.place(), place.place(),
						place.region(), place.prefill(), options),
				() -> this.fleet.engines("decode-" + place.place(), "decode-" + place.place(), place.place(),
						place.region(), place.decode(), options));
	}

	static String serviceName(int number) {
		return "service-" + (number + 1);
	}

	private static void inParallel(Stream<Runnable> tasks) {
		CompletableFuture
			.allOf(tasks
				.map((task) -> CompletableFuture.runAsync(task, (runnable) -> new Thread(runnable, "start").start()))
				.toArray(CompletableFuture[]::new))
			.join();
	}

	/**
	 * Returns the policies that the daemon of this build knows.
	 * @return the names; only the first version's policy if the daemon has no choice
	 */
	static List<String> policies() {
		return hasPolicySetting() ? POLICIES : List.of("two_choices");
	}

	private static boolean hasPolicySetting() {
		return SchedulingSettings.getDescriptor().findFieldByName("policy") != null;
	}

	/**
	 * Starts the routers with a policy and waits until they serve.
	 * @param policy the scheduling policy
	 */
	void startRouters(String policy) {
		Map<String, String> overrides = hasPolicySetting() ? Map.of("scheduling.policy", policy) : Map.of();
		inParallel(this.plan.routers()
			.entrySet()
			.stream()
			.flatMap((entry) -> entry.getValue()
				.stream()
				.map((name) -> () -> this.fleet.router(name, entry.getKey().place(), entry.getKey().region(),
						overrides))));
		this.fleet.apply(this.plan.objects());
		Fleet.await("every router serves requests", Duration.ofSeconds(20),
				() -> running().stream().allMatch(this::serves));
	}

	private boolean serves(RouterProcess router) {
		String body = new JsonObject().put("model", this.plan.workload().model())
			.put("prompt", "one")
			.put("max_tokens", 1)
			.encode();
		String path = "/services/" + this.plan.service() + this.plan.read();
		return this.fleet.http().get(router.callerUrl(path)).status() == 200
				&& this.fleet.http().send("POST", router.callerUrl("/v1/completions"), body, Map.of()).status() == 200;
	}

	List<RouterProcess> running() {
		return this.fleet.routers().stream().filter((router) -> router.process().alive()).toList();
	}

	void stopRouters() {
		running().forEach((router) -> router.process().kill());
	}

	/**
	 * Returns a balancer over the running routers.
	 * @param seed seed of its choices
	 * @return the balancer
	 */
	Balancer balancer(long seed) {
		Balancer balancer = new Balancer(seed);
		this.plan.routers()
			.forEach((place, names) -> names.stream()
				.map(this.fleet::router)
				.filter((router) -> router.process().alive())
				.forEach((router) -> balancer.add(router.callerPort(),
						this.plan.capacityPerSecond(place) / names.size())));
		return balancer;
	}

	/**
	 * Reads the counters of all engines.
	 * @return their sums
	 */
	EngineCounters counters() {
		List<JsonObject> states = engineNames().stream()
			.map((name) -> new JsonObject(this.fleet.inspect(name, "state")))
			.toList();
		return new EngineCounters(sum(states, "prefillTokens"), sum(states, "wastedPrefillTokens"),
				sum(states, "farBytes"));
	}

	private static long sum(List<JsonObject> states, String counter) {
		return states.stream().mapToLong((state) -> state.getLong(counter)).sum();
	}

	List<String> engineNames() {
		List<String> names = new ArrayList<>();
		this.plan.places().forEach((place) -> names.addAll(DeploymentPlan.engines(place)));
		return names;
	}

	DeploymentPlan plan() {
		return this.plan;
	}

	Fleet fleet() {
		return this.fleet;
	}

	@Override
	public void close() {
		this.fleet.close();
	}

	/**
	 * Counters of the engine stand-ins.
	 *
	 * @param prefillTokens tokens that were prefilled
	 * @param wastedTokens prefilled tokens that were evicted or cancelled
	 * @param farBytes bytes between regions
	 */
	record EngineCounters(long prefillTokens, long wastedTokens, long farBytes) {

		EngineCounters since(EngineCounters earlier) {
			return new EngineCounters(this.prefillTokens - earlier.prefillTokens,
					this.wastedTokens - earlier.wastedTokens, this.farBytes - earlier.farBytes);
		}

		double wastedShare() {
			return (double) this.wastedTokens / Math.max(1, this.prefillTokens);
		}

	}

}
