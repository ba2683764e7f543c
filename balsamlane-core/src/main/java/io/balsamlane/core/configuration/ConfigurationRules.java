package io.balsamlane.core.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import io.balsamlane.schema.Change;
import io.balsamlane.schema.ConfigurationOrBuilder;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;
import io.balsamlane.schema.PlainService;

/**
 * Rules that each object of the configuration has to meet.
 */
final class ConfigurationRules {

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

	private static final Pattern CALL = Pattern.compile("[A-Z]+( /\\S*)?");

	private static final Pattern TOKEN_HASH = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern LABEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}");

	/** Keys that the router sets itself; a label of this name would be hidden. */
	private static final List<String> RESERVED_KEYS = List.of("caller", "model", "name", "place", "region", "role",
			"service");

	private ConfigurationRules() {
	}

	/**
	 * Finds the first rule that an object breaks.
	 * @param object the object
	 * @return what is wrong and how to correct it, empty if nothing is
	 */
	static Optional<String> problem(ObjectChange object) {
		if (object.getKind() == ObjectKind.OBJECT_KIND_UNSPECIFIED) {
			return Optional.of("The change names no kind; use pool, service, selector or caller");
		}
		if (!NAME.matcher(object.getName()).matches()) {
			return Optional.of("The name \"" + object.getName()
					+ "\" is not valid; use up to 63 lower-case letters, digits, dots, dashes and underscores");
		}
		return switch (object.getObjectCase()) {
			case POOL -> matching(object, ObjectKind.POOL).or(() -> poolProblem(object))
				.or(() -> labelProblem(object, object.getPool().getLabelsMap()));
			case SERVICE -> matching(object, ObjectKind.SERVICE).or(() -> serviceProblem(object))
				.or(() -> labelProblem(object, object.getService().getLabelsMap()));
			case SELECTOR -> matching(object, ObjectKind.SELECTOR).or(() -> selectorProblem(object));
			case CALLER -> matching(object, ObjectKind.CALLER).or(() -> callerProblem(object))
				.or(() -> labelProblem(object, object.getCaller().getLabelsMap()));
			default -> Optional.empty();
		};
	}

	/**
	 * Finds a rule that a change breaks as a whole.
	 * @param change the change
	 * @return what is wrong and how to correct it, empty if nothing is
	 */
	static Optional<String> changeProblem(Change change) {
		if (change.getChangeId().isEmpty()) {
			return Optional.of("The change has no change_id; choose a new random one for each change");
		}
		if (change.getObjectsCount() == 0) {
			return Optional.of("The change names no object; add at least one");
		}
		Set<String> names = new HashSet<>();
		return change.getObjectsList()
			.stream()
			.map((object) -> object.getKind().name().toLowerCase(Locale.ROOT) + " " + object.getName())
			.filter((name) -> !names.add(name))
			.findFirst()
			.map((name) -> "The change names " + name + " twice; keep one of them");
	}

	/**
	 * Finds a rule that concerns several objects.
	 * @param next the configuration after the change
	 * @return what is wrong and how to correct it, empty if nothing is
	 */
	static Optional<String> documentProblem(ConfigurationOrBuilder next) {
		Set<String> groups = new HashSet<>();
		next.getPoolsList().forEach((pool) -> groups.add(pool.getName()));
		Optional<String> shared = next.getServicesList()
			.stream()
			.map(PlainService::getName)
			.filter(groups::contains)
			.findFirst()
			.map((name) -> "A pool and a service have the name " + name
					+ "; rename one, because the host list tells them apart by name");
		Set<String> hashes = new HashSet<>();
		return shared.or(() -> next.getCallersList()
			.stream()
			.filter((caller) -> !caller.getTokenSha256().isEmpty() && !hashes.add(caller.getTokenSha256()))
			.findFirst()
			.map((caller) -> "Caller " + caller.getName() + " has the token of another caller; issue a new token"));
	}

	private static Optional<String> labelProblem(ObjectChange object, Map<String, String> labels) {
		return labels.entrySet()
			.stream()
			.filter((label) -> RESERVED_KEYS.contains(label.getKey()) || !LABEL.matcher(label.getKey()).matches()
					|| !LABEL.matcher(label.getValue()).matches())
			.findFirst()
			.map((label) -> "Label " + label.getKey() + " = " + label.getValue() + " of " + object.getName()
					+ " is not valid; use letters, digits, dots, dashes, underscores and slashes, and none of the keys "
					+ String.join(", ", RESERVED_KEYS));
	}

	private static Optional<String> matching(ObjectChange object, ObjectKind kind) {
		return (object.getKind() == kind) ? Optional.empty()
				: Optional.of("The change of " + object.getName() + " says kind " + object.getKind()
						+ " but contains a " + kind.name().toLowerCase(Locale.ROOT) + "; make both agree");
	}

	private static Optional<String> serviceProblem(ObjectChange object) {
		PlainService service = object.getService();
		for (String call : service.getRepeatableList()) {
			if (!CALL.matcher(call).matches()) {
				return Optional.of("Service " + object.getName() + ": \"" + call
						+ "\" is not a call; use a method and optionally a path, such as GET /status");
			}
		}
		return service.getHedgedList()
			.stream()
			.filter((call) -> !repeatable(service, call))
			.findFirst()
			.map((call) -> "Service " + object.getName() + ": hedged call \"" + call
					+ "\" is not repeatable; add it to repeatable or remove it from hedged");
	}

	private static boolean repeatable(PlainService service, String call) {
		return service.getRepeatableList().contains(call)
				|| service.getRepeatableList().contains(call.split(" ", 2)[0]);
	}

	private static Optional<String> callerProblem(ObjectChange object) {
		String hash = object.getCaller().getTokenSha256();
		return (hash.isEmpty() || TOKEN_HASH.matcher(hash).matches()) ? Optional.empty() : Optional.of("Caller "
				+ object.getName() + ": token_sha256 must be the token's SHA-256 as 64 lower-case hexadecimal digits");
	}

	private static Optional<String> poolProblem(ObjectChange object) {
		if (object.getPool().getRole() == EngineRole.ENGINE_ROLE_UNSPECIFIED) {
			return Optional.of("Pool " + object.getName() + " has no role; set role = prefill or role = decode");
		}
		if (object.getPool().getModel().isEmpty() || object.getPool().getPlace().isEmpty()) {
			return Optional.of("Pool " + object.getName() + " needs a model and a place; set model = and place =");
		}
		return Optional.empty();
	}

	private static Optional<String> selectorProblem(ObjectChange object) {
		try {
			LabelExpression.of(object.getSelector().getRequests());
			LabelExpression.of(object.getSelector().getTargets());
			return Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			return Optional.of("Selector " + object.getName() + ": " + ex.getMessage());
		}
	}

}
