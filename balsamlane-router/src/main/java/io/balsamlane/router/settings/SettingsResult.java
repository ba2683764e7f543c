package io.balsamlane.router.settings;

import java.util.List;

import io.balsamlane.schema.Settings;

/**
 * The outcome of loading a settings file.
 */
public sealed interface SettingsResult {

	/**
	 * All settings are valid.
	 *
	 * @param settings the settings, with defaults applied
	 */
	record Loaded(Settings settings) implements SettingsResult {
	}

	/**
	 * The file cannot be read or contains invalid settings.
	 *
	 * @param errors all errors found in the file
	 */
	record Invalid(List<SettingsError> errors) implements SettingsResult {

		public Invalid {
			errors = List.copyOf(errors);
		}

	}

}
