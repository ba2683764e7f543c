package io.balsamlane.router.settings;

/**
 * An error in a settings file.
 *
 * @param file the path of the file
 * @param line the line number starting at 1, 0 if the file has no line to refer to
 * @param key the section and key
 * @param value the value found
 * @param remedy the problem and how to correct it
 */
public record SettingsError(String file, int line, String key, String value, String remedy) {

	@Override
	public String toString() {
		String where = (this.line > 0) ? this.file + ":" + this.line : this.file;
		return where + ": " + this.key + " = \"" + this.value + "\": " + this.remedy;
	}

}
