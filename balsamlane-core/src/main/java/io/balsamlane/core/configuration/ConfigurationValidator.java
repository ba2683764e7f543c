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
 * Validates changes, their objects and the resulting configuration.
 */
final class ConfigurationValidator {

	private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

	private static final Pattern CALL_PATTERN = Pattern.compile("[A-Z]+( /\\S*)?");

	private static final Pattern TOKEN_HASH_PATTERN = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern LABEL_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}");

	/** Label keys that the router sets itself and that would hide a configured label. */
	private static final List<String> RESERVED_KEYS = List.of("caller", "model", "name", "place", "region", "role",
			"service");

	private ConfigurationValidator() {
	}

	/**
	 * Validate a single object of a change.
	 * @param object the object
	 * @return the first error and how to correct it; empty if the object is valid
	 */
	static Optional<String> validateObject(ObjectChange object) {
		if (object.getKind() == ObjectKind.OBJECT_KIND_UNSPECIFIED) {
			return Optional.of("The change specifies no object kind; use pool, service, selector or caller");
		}
		if (!NAME_PATTERN.matcher(object.getName()).matches()) {
			return Optional.of("The name \"" + object.getName()
					+ "\" is not valid; use up to 63 lower-case letters, digits, dots, dashes and underscores");
		}
		return switch (object.getObjectCase()) {
			case POOL -> validateKind(object, ObjectKind.POOL).or(() -> validatePool(object))
				.or(() -> validateLabels(object, object.getPool().getLabelsMap()));
			case SERVICE -> validateKind(object, ObjectKind.SERVICE).or(() -> validateService(object))
				.or(() -> validateLabels(object, object.getService().getLabelsMap()));
			case SELECTOR -> validateKind(object, ObjectKind.SELECTOR).or(() -> validateSelector(object));
			case CALLER -> validateKind(object, ObjectKind.CALLER).or(() -> validateCaller(object))
				.or(() -> validateLabels(object, object.getCaller().getLabelsMap()));
			default -> Optional.empty();
		};
	}

	/**
	 * Validate a change as a whole.
	 * @param change the change
	 * @return the first error and how to correct it; empty if the change is valid
	 */
	static Optional<String> validateChange(Change change) {
		if (change.getChangeId().isEmpty()) {
			return Optional.of("The change has no change_id; choose a new random one for each change");
		}
		if (change.getObjectsCount() == 0) {
			return Optional.of("The change contains no object; add at least one");
		}
		Set<String> names = new HashSet<>();
		return change.getObjectsList()
			.stream()
			.map((object) -> object.getKind().name().toLowerCase(Locale.ROOT) + " " + object.getName())
			.filter((name) -> !names.add(name))
			.findFirst()
			.map((name) -> "The change contains " + name + " twice; keep only one");
	}

	/**
	 * Validate the constraints that span several objects.
	 * @param next the configuration after the change
	 * @return the first error and how to correct it; empty if the configuration is valid
	 */
	static Optional<String> validateDocument(ConfigurationOrBuilder next) {
		Set<String> poolNames = new HashSet<>();
		next.getPoolsList().forEach((pool) -> poolNames.add(pool.getName()));
		Optional<String> nameClash = next.getServicesList()
			.stream()
			.map(PlainService::getName)
			.filter(poolNames::contains)
			.findFirst()
			.map((name) -> "A pool and a service have the name " + name
					+ "; rename one, because the host list distinguishes them by name only");
		Set<String> hashes = new HashSet<>();
		return nameClash.or(() -> next.getCallersList()
			.stream()
			.filter((caller) -> !caller.getTokenSha256().isEmpty() && !hashes.add(caller.getTokenSha256()))
			.findFirst()
			.map((caller) -> "Caller " + caller.getName() + " has the token of another caller; issue a new token"));
	}

	private static Optional<String> validateLabels(ObjectChange object, Map<String, String> labels) {
		return labels.entrySet()
			.stream()
			.filter((label) -> RESERVED_KEYS.contains(label.getKey())
					|| !LABEL_PATTERN.matcher(label.getKey()).matches()
					|| !LABEL_PATTERN.matcher(label.getValue()).matches())
			.findFirst()
			.map((label) -> "Label " + label.getKey() + " = " + label.getValue() + " of " + object.getName()
					+ " is not valid; use letters, digits, dots, dashes, underscores and slashes, and none of the keys "
					+ String.join(", ", RESERVED_KEYS));
	}

	private static Optional<String> validateKind(ObjectChange object, ObjectKind kind) {
		return (object.getKind() == kind) ? Optional.empty()
				: Optional.of("The change of " + object.getName() + " has kind " + object.getKind() + " but contains a "
						+ kind.name().toLowerCase(Locale.ROOT) + "; use the same kind for both");
	}

	private static Optional<String> validateService(ObjectChange object) {
		PlainService service = object.getService();
		for (String call : service.getRepeatableList()) {
			if (!CALL_PATTERN.matcher(call).matches()) {
				return Optional.of("Service " + object.getName() + ": \"" + call
						+ "\" is not a call; use a method and optionally a path, such as GET /status");
			}
		}
		return service.getHedgedList()
			.stream()
			.filter((call) -> !isRepeatable(service, call))
			.findFirst()
			.map((call) -> "Service " + object.getName() + ": hedged call \"" + call
					+ "\" is not repeatable; add it to repeatable or remove it from hedged");
	}

	private static boolean isRepeatable(PlainService service, String call) {
		return service.getRepeatableList().contains(call)
				|| service.getRepeatableList().contains(call.split(" ", 2)[0]);
	}

	private static Optional<String> validateCaller(ObjectChange object) {
		String hash = object.getCaller().getTokenSha256();
		return (hash.isEmpty() || TOKEN_HASH_PATTERN.matcher(hash).matches()) ? Optional.empty() : Optional.of("Caller "
				+ object.getName() + ": token_sha256 must be the token's SHA-256 as 64 lower-case hexadecimal digits");
	}

	private static Optional<String> validatePool(ObjectChange object) {
		if (object.getPool().getRole() == EngineRole.ENGINE_ROLE_UNSPECIFIED) {
			return Optional.of("Pool " + object.getName() + " has no role; set role = prefill or role = decode");
		}
		if (object.getPool().getModel().isEmpty() || object.getPool().getPlace().isEmpty()) {
			return Optional.of("Pool " + object.getName() + " needs a model and a place; set model = and place =");
		}
		return Optional.empty();
	}

	private static Optional<String> validateSelector(ObjectChange object) {
		try {
			LabelExpression.parse(object.getSelector().getRequests());
			LabelExpression.parse(object.getSelector().getTargets());
			return Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			return Optional.of("Selector " + object.getName() + ": " + ex.getMessage());
		}
	}

}
