package io.balsamlane.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.balsamlane.bench.load.Workload;
import io.balsamlane.standin.engine.EngineCapacity;

/**
 * A deployment of the size of one of today's two, with what its callers send.
 * <p>
 * The capacity of a place is the smaller of what its prefill and its decode engines can
 * do; the capacity of the deployment is the sum over its places.
 *
 * @param name name of the deployment
 * @param service name of its plain service
 * @param read path of a read of the plain service
 * @param places its places
 * @param engine capacity of each engine
 * @param workload what callers send
 */
record DeploymentPlan(String name, String service, String read, List<PlacePlan> places, EngineCapacity engine,
		Workload workload) {

	/** One-way delay between regions, in milliseconds. */
	static final int BETWEEN_REGIONS_MILLIS = 20;

	private static final int SHORTEST_ANSWER_TOKENS = 20;

	private static final int LONGEST_ANSWER_TOKENS = 79;

	/**
	 * Returns the plan of the size of Kitakami: 13 replicas that read long letters and
	 * write short replies.
	 * @return the plan
	 */
	static DeploymentPlan kitakami() {
		return new DeploymentPlan("kitakami", "ledger", "/status/pickup-1",
				List.of(new PlacePlan("doto-a", "doto", 3, 2, 3), new PlacePlan("dohoku-a", "dohoku", 3, 2, 2),
						new PlacePlan("donan-a", "donan", 2, 1, 2)),
				new EngineCapacity(44, 2048, 20_000, 20_000, 500, 800, 160_000, 10_000_000_000L, 4096, 500),
				new Workload("draft-service", List.of("school-a", "school-b", "school-c", "school-d"), 8, 1024, 2000,
						0.6, 96, 0));
	}

	/**
	 * Returns the plan of the size of Trentside: 6 replicas that read long logs and write
	 * short notes.
	 * @return the plan
	 */
	static DeploymentPlan trentside() {
		return new DeploymentPlan("trentside", "rounds-desk", "/holdings",
				List.of(new PlacePlan("nottingham-a", "east-mids", 1, 1, 3),
						new PlacePlan("birmingham-a", "west-mids", 1, 1, 2),
						new PlacePlan("coventry-a", "south-mids", 1, 1, 2)),
				new EngineCapacity(54, 2048, 45_000, 20_000, 500, 800, 160_000, 10_000_000_000L, 4096, 500),
				new Workload("ledger-scribe", List.of("desk", "workshop", "archive"), 4, 1024, 3000, 0.5, 64, 0));
	}

	static List<DeploymentPlan> chosen(MeasureOptions options) {
		return Stream.of(kitakami(), trentside())
			.filter((plan) -> options.deployments().isEmpty() || options.deployments().contains(plan.name()))
			.toList();
	}

	DeploymentPlan withWorkload(Workload changed) {
		return new DeploymentPlan(this.name, this.service, this.read, this.places, this.engine, changed);
	}

	/**
	 * Returns the mean length of an answer. Lengths are spread evenly between 20 and 79
	 * tokens and cut at the limit of the request.
	 * @return the mean, in tokens
	 */
	double meanAnswerTokens() {
		return IntStream.rangeClosed(SHORTEST_ANSWER_TOKENS, LONGEST_ANSWER_TOKENS)
			.map((tokens) -> Math.min(tokens, this.workload.maxTokens()))
			.average()
			.orElse(0);
	}

	/**
	 * Returns the requests that fit into the memory of one decode engine.
	 * @return the requests
	 */
	double decodeSlots() {
		double promptTokens = this.workload.prefixTokens() + this.workload.ownTokensMean();
		// Pieces are whole, which wastes half of a piece per request on average.
		double pieces = (promptTokens + this.workload.maxTokens()) / this.engine.pieceTokens() + 0.5;
		return Math.floor(this.engine.memoryPieces() / pieces);
	}

	/**
	 * Returns the requests that one prefill engine can prefill if shared prefixes are in
	 * its cache.
	 * @return the rate, in requests/s
	 */
	double prefillPerSecond() {
		return this.engine.prefillTokensPerSecond() / this.workload.ownTokensMean();
	}

	/**
	 * Returns the requests that one decode engine can decode with a full memory.
	 * @return the rate, in requests/s
	 */
	double decodePerSecond() {
		double stepSeconds = (this.engine.stepMicros() + decodeSlots() * this.engine.stepPerSequenceMicros()) / 1e6;
		// One more step ends the stream.
		return decodeSlots() / ((meanAnswerTokens() + 1) * stepSeconds);
	}

	double capacityPerSecond(PlacePlan place) {
		return Math.min(place.prefill() * prefillPerSecond(), place.decode() * decodePerSecond());
	}

	double capacityPerSecond() {
		return this.places.stream().mapToDouble(this::capacityPerSecond).sum();
	}

	int prefillEngines() {
		return this.places.stream().mapToInt(PlacePlan::prefill).sum();
	}

	int decodeEngines() {
		return this.places.stream().mapToInt(PlacePlan::decode).sum();
	}

	/**
	 * Returns the names of the routers, by place.
	 * @return the names
	 */
	Map<PlacePlan, List<String>> routers() {
		int[] next = { 1 };
		return this.places.stream()
			.collect(Collectors.toMap((place) -> place,
					(place) -> IntStream.range(0, place.routers()).mapToObj((i) -> "router-" + next[0]++).toList(),
					(first, second) -> first, LinkedHashMap::new));
	}

	static List<String> engines(PlacePlan place) {
		return Stream
			.concat(names("prefill-" + place.place(), place.prefill()).stream(),
					names("decode-" + place.place(), place.decode()).stream())
			.toList();
	}

	static List<String> names(String process, int count) {
		return (count == 1) ? List.of(process)
				: IntStream.rangeClosed(1, count).mapToObj((i) -> process + "-" + i).toList();
	}

	/**
	 * Returns the options of the engine stand-ins of a place.
	 * @param place the place
	 * @return the options
	 */
	String[] engineOptions(PlacePlan place) {
		Map<PlacePlan, List<String>> routers = routers();
		String delays = this.places.stream()
			.filter((other) -> !other.region().equals(place.region()))
			.flatMap((other) -> Stream.concat(routers.get(other).stream(), engines(other).stream()))
			.map((host) -> host + "=" + BETWEEN_REGIONS_MILLIS)
			.collect(Collectors.joining(","));
		List<String> options = new ArrayList<>();
		add(options, "--memory-pieces", this.engine.memoryPieces());
		add(options, "--piece-tokens", this.engine.pieceTokens());
		add(options, "--prefill-tokens-per-second", this.engine.prefillTokensPerSecond());
		add(options, "--step-micros", this.engine.stepMicros());
		add(options, "--step-per-sequence-micros", this.engine.stepPerSequenceMicros());
		add(options, "--eviction-millis", this.engine.evictionMillis());
		add(options, "--kv-bytes-per-token", this.engine.kvBytesPerToken());
		add(options, "--link-bytes-per-second", this.engine.linkBytesPerSecond());
		add(options, "--cache-blocks", this.engine.cacheBlocks());
		add(options, "--report-lag-millis", this.engine.reportLagMillis());
		options.addAll(List.of("--report-gap-share", "0.05", "--one-way-millis", delays));
		return options.toArray(String[]::new);
	}

	private static void add(List<String> options, String name, long value) {
		options.add(name);
		options.add(Long.toString(value));
	}

	/**
	 * Returns the objects of the configuration.
	 * @return an INI text for the operators' tool
	 */
	String objects() {
		StringBuilder text = new StringBuilder();
		this.places.forEach((place) -> Stream.of("prefill", "decode")
			.forEach((role) -> text.append("[pool " + role + "-" + place.place() + "]\nrole = " + role + "\nmodel = "
					+ this.workload.model() + "\nplace = " + place.place() + "\n")));
		text.append("[service " + this.service + "]\nrepeatable = GET\nhedged = GET\n");
		text.append("[selector everything]\ncross_region = true\n");
		return text.toString();
	}

	/**
	 * Part of a deployment in one place.
	 *
	 * @param place name of the place
	 * @param region region of the place
	 * @param prefill number of prefill engines
	 * @param decode number of decode engines
	 * @param routers number of routers
	 */
	record PlacePlan(String place, String region, int prefill, int decode, int routers) {
	}

}
