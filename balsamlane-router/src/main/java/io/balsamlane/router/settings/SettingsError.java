package io.balsamlane.router.settings;

/**
 * One error in a settings file.
 *
 * @param file the file
 * @param line line number from 1, 0 if the key is missing
 * @param key section and key
 * @param value the value found
 * @param remedy what to change
 */
public record SettingsError(String file, int line, String key, String value, String remedy) {

	@Override
	public String toString() {
		String where = (this.line > 0) ? this.file + ":" + this.line : this.file;
		return where + ": " + this.key + " = \"" + this.value + "\": " + this.remedy;
	}

}
