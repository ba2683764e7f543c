package io.balsamlane.router.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor.JavaType;
import com.google.protobuf.Message;
import io.balsamlane.router.settings.SettingsResult.Invalid;
import io.balsamlane.router.settings.SettingsResult.Loaded;
import io.balsamlane.schema.SettingOptions;
import io.balsamlane.schema.Settings;
import io.balsamlane.schema.SettingsOuterClass;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Reads an INI file into {@link Settings} and reports every error at once.
 */
public final class SettingsLoader {

	private final String file;

	private final INIConfiguration ini = new INIConfiguration();

	private final Map<String, Integer> lines = new HashMap<>();

	private final List<SettingsError> errors = new ArrayList<>();

	private SettingsLoader(String file) {
		this.file = file;
	}

	/**
	 * Reads a settings file.
	 * @param path the file
	 * @return the settings or every error found
	 */
	public static SettingsResult load(Path path) {
		SettingsLoader loader = new SettingsLoader(path.toString());
		try {
			return loader.parse(Files.readString(path));
		}
		catch (IOException ex) {
			return new Invalid(List.of(new SettingsError(path.toString(), 0, "file", path.toString(),
					"cannot be read; name a readable file")));
		}
	}

	private SettingsResult parse(String text) {
		try {
			this.ini.read(new StringReader(text));
		}
		catch (ConfigurationException | IOException ex) {
			return new Invalid(List.of(new SettingsError(this.file, 0, "file", "",
					"is not an INI file: " + ex.getMessage() + "; use [section] and key = value")));
		}
		indexLines(text);
		Settings.Builder settings = Settings.newBuilder();
		Set<String> known = new TreeSet<>();
		for (FieldDescriptor section : Settings.getDescriptor().getFields()) {
			Message.Builder builder = settings.newBuilderForField(section);
			for (FieldDescriptor field : section.getMessageType().getFields()) {
				known.add(section.getName() + "." + field.getName());
				read(section.getName(), field, builder);
			}
			settings.setField(section, builder.build());
		}
		rejectUnknown(known);
		return this.errors.isEmpty() ? new Loaded(settings.build()) : new Invalid(this.errors);
	}

	private void indexLines(String text) {
		String section = "";
		String[] all = text.split("\n", -1);
		for (int index = 0; index < all.length; index++) {
			String line = all[index].trim();
			if (line.startsWith("[") && line.endsWith("]")) {
				section = line.substring(1, line.length() - 1).trim();
			}
			else if (line.contains("=") && !line.startsWith("#") && !line.startsWith(";")) {
				this.lines.put(section + "." + line.substring(0, line.indexOf('=')).trim(), index + 1);
			}
		}
	}

	private void read(String section, FieldDescriptor field, Message.Builder builder) {
		SettingOptions options = field.getOptions().getExtension(SettingsOuterClass.setting);
		String key = section + "." + field.getName();
		String value = this.ini.getSection(section).getString(field.getName());
		if (value == null) {
			if (options.getRequired()) {
				error(key, "", "is missing; set it: " + options.getDescription());
				return;
			}
			value = options.getDefaultValue();
		}
		if (field.getJavaType() == JavaType.STRING) {
			if (options.getAllowedCount() > 0 && !options.getAllowedList().contains(value.trim())) {
				error(key, value, "is not an allowed value; use " + String.join(", ", options.getAllowedList()));
				return;
			}
			builder.setField(field, value.trim());
			return;
		}
		try {
			long number = Long.parseLong(value.trim());
			if (number < options.getMin() || number > options.getMax()) {
				error(key, value, "is out of bounds; use " + options.getMin() + " to " + options.getMax());
				return;
			}
			builder.setField(field, (int) number);
		}
		catch (NumberFormatException ex) {
			error(key, value, "is not a whole number; use " + options.getMin() + " to " + options.getMax());
		}
	}

	private void rejectUnknown(Set<String> known) {
		this.lines.keySet()
			.stream()
			.filter((key) -> !known.contains(key))
			.sorted()
			.forEach((key) -> error(key, value(key),
					"is not a setting; remove it or correct its name, see docs/settings.md"));
	}

	private String value(String key) {
		int dot = key.indexOf('.');
		return String.valueOf(this.ini.getSection(key.substring(0, dot)).getString(key.substring(dot + 1)));
	}

	private void error(String key, String value, String remedy) {
		this.errors.add(new SettingsError(this.file, this.lines.getOrDefault(key, 0), key, value, remedy));
	}

}
