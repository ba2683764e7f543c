package io.balsamlane.core.configuration;

import java.util.Optional;
import java.util.regex.Pattern;

import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;

/**
 * Rules that each object of the configuration has to meet.
 */
final class ConfigurationRules {

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

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
		if (object.hasPool()) {
			return poolProblem(object);
		}
		if (object.hasSelector()) {
			return selectorProblem(object);
		}
		return Optional.empty();
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
