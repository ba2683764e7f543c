package io.balsamlane.bench;

import java.util.ArrayList;
import java.util.List;

import io.balsamlane.core.configuration.ConfigurationEditor;
import io.balsamlane.core.configuration.EditResult;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;
import io.balsamlane.schema.Selector;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Configuration and host list at the design scale: 410 callers, 14 models, 300 pools, 20
 * services, 500 selectors, 600 replicas in 11 places of 3 regions.
 */
final class FullSizeDocument {

	static final int CALLERS = 410;

	static final int MODELS = 14;

	private static final int POOLS = 300;

	private static final int SERVICES = 20;

	private static final int SELECTORS = 500;

	private static final int REPLICAS = 600;

	private static final int PLACES = 11;

	private static final int REGIONS = 3;

	private FullSizeDocument() {
	}

	/**
	 * Creates the document with a full history of changes of one selector each.
	 * @return the document
	 */
	static Configuration configuration() {
		Configuration.Builder builder = Configuration.newBuilder().setRevision(1);
		for (int number = 0; number < POOLS; number++) {
			builder.addPools(Pool.newBuilder()
				.setName(poolName(number))
				.setRole((number / MODELS % 2 == 0) ? EngineRole.PREFILL : EngineRole.DECODE)
				.setModel(model(number % MODELS))
				.setPlace(place(number % PLACES))
				.putLabels("generation", "g" + number % 4)
				.putLabels("stage", (number % 10 == 0) ? "trial" : "stable")
				.setChangedRevision(1));
		}
		for (int number = 0; number < SERVICES; number++) {
			builder.addServices(PlainService.newBuilder()
				.setName("service-" + number)
				.addRepeatable("GET")
				.addHedged("GET /status")
				.putLabels("tier", "t" + number % 3)
				.setChangedRevision(1));
		}
		for (int number = 0; number < CALLERS; number++) {
			builder.addCallers(Caller.newBuilder()
				.setName(caller(number))
				.setTokenSha256(DigestUtils.sha256Hex("token-" + number))
				.putLabels("tier", "t" + number % 3)
				.putLabels("contract", "c" + number % 7)
				.setRequestsPerSecond(100)
				.setTokensPerSecond(100_000)
				.setChangedRevision(1));
		}
		for (int number = 0; number < SELECTORS; number++) {
			builder.addSelectors(selector(number).setChangedRevision(1));
		}
		Configuration configuration = builder.build();
		for (int number = 0; number < ConfigurationEditor.MAX_CHANGES; number++) {
			configuration = next(configuration);
		}
		return configuration;
	}

	/**
	 * Changes one selector.
	 * @param current the configuration
	 * @return the next configuration
	 */
	static Configuration next(Configuration current) {
		int number = (int) (current.getRevision() % SELECTORS);
		Selector.Builder selector = selector(number).setPriority((int) current.getRevision());
		long seen = current.getSelectorsList()
			.stream()
			.filter((candidate) -> candidate.getName().equals(selector.getName()))
			.findFirst()
			.orElseThrow()
			.getChangedRevision();
		Change change = Change.newBuilder()
			.setChangeId("3f2b8a52-7d0c-4c1b-9d3e-" + String.format("%012d", current.getRevision()))
			.setAuthor("operator")
			.addObjects(ObjectChange.newBuilder()
				.setKind(ObjectKind.SELECTOR)
				.setName(selector.getName())
				.setExpectedRevision(seen)
				.setSelector(selector))
			.build();
		return ((EditResult.Edited) ConfigurationEditor.apply(current, change, 1_796_000_000_000L)).configuration();
	}

	/**
	 * Four in five selectors name a caller, the others a tier or a contract.
	 * @param number number of the selector
	 * @return the selector
	 */
	private static Selector.Builder selector(int number) {
		String model = model(number % MODELS);
		String requests = (number < CALLERS)
				? "caller = " + caller(number) + ", model in (" + model + ", " + model((number + 1) % MODELS) + ")"
				: "tier = t" + number % 3 + ", contract != c" + number % 7;
		return Selector.newBuilder()
			.setName("selector-" + number)
			.setRequests(requests)
			.setTargets((number < CALLERS)
					? "model in (" + model + ", " + model((number + 1) % MODELS) + "), stage = stable"
					: "stage != trial")
			.setCrossRegion(number % 5 == 0)
			.setFirstTokenMillis(1100)
			.setBetweenTokensMillis(35);
	}

	static HostList hosts() {
		List<BackendServer> servers = new ArrayList<>();
		for (int number = 0; number < REPLICAS; number++) {
			int pool = number % POOLS;
			int place = pool % PLACES;
			servers.add(new BackendServer(ServerName.of("engine-" + number), BackendServer.Kind.ENGINE, poolName(pool),
					Place.of(place(place)), region(place), Endpoint.of("10.0.0.1", 1000 + number), false));
		}
		return new HostList(servers, List.of());
	}

	static String caller(int number) {
		return "caller-" + number;
	}

	static String model(int number) {
		return "model-" + number;
	}

	static String place(int number) {
		return "place-" + number;
	}

	static String region(int place) {
		return "region-" + place % REGIONS;
	}

	private static String poolName(int number) {
		return "pool-" + number;
	}

}
