package io.balsamlane.router.settings;

import java.util.List;

import io.balsamlane.schema.Settings;

/**
 * Outcome of reading a settings file.
 */
public sealed interface SettingsResult {

	/**
	 * All settings are valid.
	 *
	 * @param settings the settings, defaults filled in
	 */
	record Loaded(Settings settings) implements SettingsResult {
	}

	/**
	 * Some settings are not valid.
	 *
	 * @param errors every error of the file
	 */
	record Invalid(List<SettingsError> errors) implements SettingsResult {

		public Invalid {
			errors = List.copyOf(errors);
		}

	}

}
