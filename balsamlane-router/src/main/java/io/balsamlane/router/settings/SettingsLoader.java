package io.balsamlane.router.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import io.balsamlane.router.settings.SettingsResult.Invalid;
import io.balsamlane.router.settings.SettingsResult.Loaded;
import io.balsamlane.schema.SettingOptions;
import io.balsamlane.schema.Settings;
import io.balsamlane.schema.SettingsOuterClass;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Load {@link Settings} from an INI file and report all errors together.
 */
public final class SettingsLoader {

	private final String file;

	private final INIConfiguration ini = new INIConfiguration();

	private final List<SettingsError> errors = new ArrayList<>();

	private SettingsLines lines = SettingsLines.of("");

	private SettingsLoader(String file) {
		this.file = file;
		this.ini.setSeparatorUsedInInput("=");
	}

	/**
	 * Load a settings file.
	 * @param path the path of the file
	 * @return the settings, or all errors found
	 */
	public static SettingsResult load(Path path) {
		try {
			return parse(path.toString(), Files.readString(path));
		}
		catch (IOException ex) {
			return new Invalid(List.of(new SettingsError(path.toString(), 0, "file", path.toString(),
					"cannot be read; name a readable file in UTF-8")));
		}
	}

	/**
	 * Parse settings from text.
	 * @param file the file name for error messages
	 * @param text the content of the file
	 * @return the settings, or all errors found
	 */
	public static SettingsResult parse(String file, String text) {
		return new SettingsLoader(file).parse(text);
	}

	private SettingsResult parse(String text) {
		try {
			this.ini.read(new StringReader(text));
		}
		catch (ConfigurationException | IOException ex) {
			return new Invalid(List.of(new SettingsError(this.file, 0, "file", "",
					"is not an INI file: " + ex.getMessage() + "; use [section] and key = value")));
		}
		this.lines = SettingsLines.of(text);
		this.lines.invalidLines()
			.forEach((line) -> this.errors.add(new SettingsError(this.file, line.number(), "line", line.text(),
					"is neither a section nor a setting of a section; use [section] and key = value")));
		rejectUnknownSections();
		Settings.Builder settings = Settings.newBuilder();
		for (FieldDescriptor section : Settings.getDescriptor().getFields()) {
			Message.Builder builder = settings.newBuilderForField(section);
			section.getMessageType().getFields().forEach((field) -> readField(section.getName(), field, builder));
			settings.setField(section, builder.build());
			rejectUnknownKeys(section);
		}
		SettingsRules.check(settings.build())
			.stream()
			.filter((violation) -> this.errors.stream().noneMatch((error) -> error.key().equals(violation.key())))
			.toList()
			.forEach((violation) -> addError(violation.key(), violation.value(), violation.remedy()));
		this.errors.sort(Comparator.comparingInt(SettingsError::line).thenComparing(SettingsError::key));
		return this.errors.isEmpty() ? new Loaded(settings.build()) : new Invalid(this.errors);
	}

	private void rejectUnknownSections() {
		List<String> known = Settings.getDescriptor().getFields().stream().map(FieldDescriptor::getName).toList();
		this.lines.sections().filter((section) -> !known.contains(section.text())).forEach((section) -> {
			String remedy = suggest(known, section.text())
				.map((suggestion) -> "did you mean [" + suggestion + "]? Otherwise remove it")
				.orElse("remove it");
			this.errors.add(new SettingsError(this.file, section.number(), "[" + section.text() + "]", "",
					"is not a section; " + remedy + ", see docs/settings.md"));
		});
	}

	private void rejectUnknownKeys(FieldDescriptor section) {
		List<String> known = section.getMessageType().getFields().stream().map(FieldDescriptor::getName).toList();
		this.lines.keys(section.getName()).filter((key) -> !known.contains(key)).forEach((key) -> {
			String remedy = suggest(known, key)
				.map((suggestion) -> "did you mean " + suggestion + "? Otherwise remove it")
				.orElse("remove it");
			addError(section.getName() + "." + key, value(section.getName(), key).orElse(""),
					"is not a setting; " + remedy + ", see docs/settings.md");
		});
	}

	private static Optional<String> suggest(List<String> known, String key) {
		String normalized = key.replaceAll("[^a-z0-9]", "");
		return known.stream()
			.filter((name) -> name.replace("_", "").equals(normalized) || (key.length() > 2 && name.startsWith(key))
					|| key.startsWith(name))
			.findFirst();
	}

	private Optional<String> value(String section, String key) {
		// Commons Configuration would interpret an unescaped dot in a key as a path.
		return Optional.ofNullable(this.ini.getSection(section).getString(key.replace(".", "..")));
	}

	private void readField(String section, FieldDescriptor field, Message.Builder builder) {
		SettingOptions options = field.getOptions().getExtension(SettingsOuterClass.setting);
		String key = section + "." + field.getName();
		List<Integer> lineNumbers = this.lines.linesOf(section, field.getName());
		if (lineNumbers.size() > 1) {
			String joined = lineNumbers.stream().map(String::valueOf).collect(Collectors.joining(", "));
			addError(key, value(section, field.getName()).orElse(""),
					"is set more than once, in lines " + joined + "; keep one of them");
			return;
		}
		Optional<String> value = value(section, field.getName()).map(String::trim);
		if (options.getRequired() && value.filter((text) -> !text.isEmpty()).isEmpty()) {
			addError(key, "", "is missing; set it: " + options.getDescription());
			return;
		}
		// Falls back to the default after an error so that the rules across keys
		// report no consequential errors.
		builder.setField(field, convert(key, field, options, value.orElse(options.getDefaultValue()))
			.orElseGet(() -> convert(key, field, options, options.getDefaultValue()).orElseThrow()));
	}

	private Optional<Object> convert(String key, FieldDescriptor field, SettingOptions options, String value) {
		return switch (field.getJavaType()) {
			case STRING -> requireAllowed(key, options, value);
			case BOOLEAN -> {
				if (!value.equals("true") && !value.equals("false")) {
					addError(key, value, "is neither true nor false; use one of them");
					yield Optional.empty();
				}
				yield Optional.of(Boolean.valueOf(value));
			}
			case INT -> parseNumber(key, options, value).map(Long::intValue);
			case LONG -> parseNumber(key, options, value).map((number) -> number);
			default -> throw new IllegalStateException("The schema gives " + key + " an unsupported type");
		};
	}

	private Optional<Object> requireAllowed(String key, SettingOptions options, String value) {
		if (options.getAllowedCount() == 0 || options.getAllowedList().contains(value)) {
			return Optional.of(value);
		}
		addError(key, value, "is not an allowed value; use " + String.join(", ", options.getAllowedList()));
		return Optional.empty();
	}

	private Optional<Long> parseNumber(String key, SettingOptions options, String value) {
		try {
			long number = Long.parseLong(value);
			if (number >= options.getMin() && number <= options.getMax()) {
				return Optional.of(number);
			}
			addError(key, value, "is out of bounds; use " + options.getMin() + " to " + options.getMax());
		}
		catch (NumberFormatException ex) {
			addError(key, value, "is not a whole number; use " + options.getMin() + " to " + options.getMax());
		}
		return Optional.empty();
	}

	private void addError(String key, String value, String remedy) {
		this.errors.add(new SettingsError(this.file, this.lines.lineOf(key), key, value, remedy));
	}

}
