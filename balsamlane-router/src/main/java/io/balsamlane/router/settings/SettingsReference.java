package io.balsamlane.router.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor.JavaType;
import io.balsamlane.schema.SettingOptions;
import io.balsamlane.schema.Settings;
import io.balsamlane.schema.SettingsOuterClass;

/**
 * Generate the page {@code docs/settings.md} from the schema.
 */
public final class SettingsReference {

	private static final String HEADER = """
			# Settings

			Settings of `balsamlaned`, read from the INI file that `--config` names. This page is generated from
			`balsamlane-schema/src/main/proto/balsamlane/settings.proto` by `SettingsReference`; a test fails when it is
			out of date.

			`bin/balsamlaned --config FILE --check` checks a file without starting: every error is printed with file,
			line, key, value and remedy, and the exit code is 2. Lines that start with `#` or `;` are comments. Unknown
			sections and keys and keys that are set twice are errors. A setting is read at the start; a changed file
			takes effect with the next start.

			Rules across keys:
			- `node.address` may be other than loopback only if `peer.key` is set.
			- `peer.previous_key` needs `peer.key` and differs from it.
			- `edge.port`, `edge.admin_port` and `peer.port` differ unless they are 0.
			- `peer.probe_timeout_millis` is below `peer.probe_millis`, and `peer.suspicion_millis` is not below it.
			- `peer.max_frame_bytes` holds a configuration of 1 MB (1114112 or more).
			- `store.url` and `hosts.url` have the form `http://ADDRESS:PORT`, followed by a path if there is one.
			""";

	private SettingsReference() {
	}

	/**
	 * Write the page to a file.
	 * @param args the path of the file to write
	 * @throws IOException if the file cannot be written
	 */
	public static void main(String[] args) throws IOException {
		Files.writeString(Path.of(args[0]), markdown());
	}

	static String markdown() {
		StringBuilder page = new StringBuilder(HEADER);
		for (FieldDescriptor section : Settings.getDescriptor().getFields()) {
			page.append("\n## [").append(section.getName()).append("]\n\n");
			page.append("| key | default | bounds | description |\n|---|---|---|---|\n");
			section.getMessageType().getFields().forEach((field) -> page.append(row(field)));
		}
		return page.toString();
	}

	private static String row(FieldDescriptor field) {
		SettingOptions options = field.getOptions().getExtension(SettingsOuterClass.setting);
		String defaultValue = options.getDefaultValue().isEmpty() ? "empty" : "`" + options.getDefaultValue() + "`";
		String bounds = (field.getJavaType() == JavaType.INT || field.getJavaType() == JavaType.LONG)
				? options.getMin() + " to " + options.getMax()
				: ((field.getJavaType() == JavaType.BOOLEAN) ? "`true`, `false`" : "text");
		return "| `" + field.getName() + "` | " + (options.getRequired() ? "required" : defaultValue) + " | " + bounds
				+ " | " + options.getDescription() + " |\n";
	}

}
