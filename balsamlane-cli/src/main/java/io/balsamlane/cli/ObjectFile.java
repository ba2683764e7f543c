package io.balsamlane.cli;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;
import io.balsamlane.schema.Selector;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Objects of the configuration in an INI file: one section {@code [kind name]} for each.
 * <p>
 * The keys are the fields of the schema. {@code revision} holds the revision that the
 * editor saw, and {@code delete = true} deletes the object.
 */
final class ObjectFile {

	static final String REVISION = "revision";

	static final String DELETE = "delete";

	private static final Set<String> HIDDEN_FIELDS = Set.of("name", "changed_revision");

	private final List<String> problems = new ArrayList<>();

	private ObjectFile() {
	}

	/**
	 * Reads the objects of a file.
	 * @param text content of the file
	 * @return the objects; the expected revision is that of the file, -1 if it gives none
	 * @throws CommandException with every error of the file
	 */
	static List<ObjectChange> parse(String text) {
		INIConfiguration ini = new INIConfiguration();
		ini.setSeparatorUsedInInput("=");
		try {
			ini.read(new StringReader(text));
		}
		catch (ConfigurationException | IOException ex) {
			throw CommandException.usage("The file is not an INI file: " + ex.getMessage());
		}
		ObjectFile file = new ObjectFile();
		file.rejectRepeatedSections(text);
		List<ObjectChange> objects = new ArrayList<>();
		for (String section : ini.getSections()) {
			if (section == null) {
				file.problems.add("Keys stand before the first section; put them into a section [KIND NAME]");
			}
			else {
				file.object(section, ini.getSection(section), objects);
			}
		}
		if (!file.problems.isEmpty()) {
			throw CommandException.usage(String.join("\n", file.problems));
		}
		if (objects.isEmpty()) {
			throw CommandException.usage("The file names no object; add a section such as [pool prefill-a]");
		}
		return objects;
	}

	private void rejectRepeatedSections(String text) {
		Set<String> seen = new HashSet<>();
		text.lines()
			.map(String::trim)
			.filter((line) -> line.startsWith("[") && line.endsWith("]"))
			.filter((line) -> !seen.add(line))
			.forEach((line) -> this.problems.add("Section " + line + " stands twice; keep one of them"));
	}

	private void object(String section, SubnodeConfiguration keys, List<ObjectChange> objects) {
		String[] words = section.trim().split("\\s+");
		if (words.length != 2) {
			this.problems.add("Section [" + section + "] is not valid; use [KIND NAME], such as [pool prefill-a]");
			return;
		}
		try {
			ObjectKind kind = ConfigurationObjects.kind(words[0]);
			ObjectChange.Builder change = ObjectChange.newBuilder().setKind(kind).setName(words[1]);
			change.setExpectedRevision(CommandContext.number("revision", keys.getString(REVISION, "-1")));
			if (!keys.getString(DELETE, "false").equals("true")) {
				fill(change, words[1], section, keys);
			}
			objects.add(change.build());
		}
		catch (CommandException ex) {
			this.problems.add("Section [" + section + "]: " + ex.getMessage());
		}
	}

	private void fill(ObjectChange.Builder change, String name, String section, SubnodeConfiguration keys) {
		switch (change.getKind()) {
			case POOL -> change.setPool(message(Pool.newBuilder().setName(name), section, keys));
			case SERVICE -> change.setService(message(PlainService.newBuilder().setName(name), section, keys));
			case SELECTOR -> change.setSelector(message(Selector.newBuilder().setName(name), section, keys));
			default -> change.setCaller(message(Caller.newBuilder().setName(name), section, keys));
		}
	}

	private <T extends Message.Builder> T message(T builder, String section, SubnodeConfiguration keys) {
		List<String> known = builder.getDescriptorForType()
			.getFields()
			.stream()
			.map(FieldDescriptor::getName)
			.filter((name) -> !HIDDEN_FIELDS.contains(name))
			.toList();
		for (Iterator<String> names = keys.getKeys(); names.hasNext();) {
			String key = names.next();
			if (keys.getList(key).size() > 1) {
				this.problems.add("Section [" + section + "]: " + key + " is set twice; keep one of them");
			}
			else if (known.contains(key)) {
				set(builder, builder.getDescriptorForType().findFieldByName(key), section, keys.getString(key).trim());
			}
			else if (!key.equals(REVISION) && !key.equals(DELETE)) {
				this.problems
					.add("Section [" + section + "]: " + key + " is not a key; use one of " + String.join(", ", known));
			}
		}
		return builder;
	}

	private void set(Message.Builder builder, FieldDescriptor field, String section, String value) {
		try {
			if (field.isMapField()) {
				labels(value).forEach((key, label) -> builder.addRepeatedField(field,
						builder.newBuilderForField(field)
							.setField(field.getMessageType().findFieldByName("key"), key)
							.setField(field.getMessageType().findFieldByName("value"), label)
							.build()));
			}
			else if (field.isRepeated()) {
				list(value).forEach((item) -> builder.addRepeatedField(field, item));
			}
			else {
				builder.setField(field, scalar(field, value));
			}
		}
		catch (CommandException ex) {
			this.problems.add("Section [" + section + "]: " + ex.getMessage());
		}
	}

	private static Object scalar(FieldDescriptor field, String value) {
		return switch (field.getJavaType()) {
			case STRING -> value;
			case INT -> Math.toIntExact(bounded(field.getName(), value, Integer.MAX_VALUE));
			case LONG -> bounded(field.getName(), value, Long.MAX_VALUE);
			case BOOLEAN -> {
				if (!value.equals("true") && !value.equals("false")) {
					throw CommandException.usage(field.getName() + " = " + value + "; use true or false");
				}
				yield Boolean.valueOf(value);
			}
			case ENUM -> Stream.of(EngineRole.PREFILL, EngineRole.DECODE)
				.filter((role) -> role.name().equalsIgnoreCase(value))
				.findFirst()
				.orElseThrow(() -> CommandException.usage(field.getName() + " = " + value + "; use prefill or decode"))
				.getValueDescriptor();
			default -> throw new IllegalStateException("The schema gives " + field.getName() + " an unsupported type");
		};
	}

	private static long bounded(String key, String value, long max) {
		long number = CommandContext.number(key, value);
		if (number > max || (number < 0 && !key.equals("priority"))) {
			throw CommandException.usage(key + " = " + value + "; use a whole number from 0 to " + max);
		}
		return number;
	}

	private static List<String> list(String value) {
		return Stream.of(value.split(",")).map(String::trim).filter((item) -> !item.isEmpty()).toList();
	}

	private static Map<String, String> labels(String value) {
		Map<String, String> labels = new LinkedHashMap<>();
		list(value).forEach((label) -> {
			int equals = label.indexOf('=');
			if (equals < 1) {
				throw CommandException.usage("label \"" + label + "\" has no value; use labels = KEY=VALUE, KEY=VALUE");
			}
			labels.put(label.substring(0, equals).trim(), label.substring(equals + 1).trim());
		});
		return labels;
	}

	/**
	 * Returns the keys and values of an object as a file holds them.
	 * @param object the object
	 * @return the values in the order of the schema, without those that are empty
	 */
	static Map<String, String> values(ObjectChange object) {
		Map<String, String> values = new LinkedHashMap<>();
		if (!ConfigurationObjects.deleted(object)) {
			Message message = (Message) object
				.getField(object.getDescriptorForType().findFieldByNumber(object.getObjectCase().getNumber()));
			message.getAllFields().forEach((field, value) -> {
				if (!HIDDEN_FIELDS.contains(field.getName())) {
					values.put(field.getName(), text(field, value));
				}
			});
		}
		return values;
	}

	private static String text(FieldDescriptor field, Object value) {
		if (field.isMapField()) {
			Map<String, String> sorted = new TreeMap<>();
			((List<?>) value).forEach((entry) -> {
				Message message = (Message) entry;
				sorted.put(message.getField(field.getMessageType().findFieldByName("key")).toString(),
						message.getField(field.getMessageType().findFieldByName("value")).toString());
			});
			return sorted.entrySet().stream().map(Map.Entry::toString).collect(Collectors.joining(", "));
		}
		if (field.isRepeated()) {
			return ((List<?>) value).stream().map(Object::toString).collect(Collectors.joining(", "));
		}
		return (field.getJavaType() == FieldDescriptor.JavaType.ENUM)
				? value.toString().toLowerCase(java.util.Locale.ROOT) : value.toString();
	}

	/**
	 * Formats objects as a file that {@code apply} accepts.
	 * @param configuration the configuration that they are from
	 * @param objects the objects
	 * @return content of the file
	 */
	static String format(Configuration configuration, List<ObjectChange> objects) {
		StringBuilder text = new StringBuilder("# Objects as of revision ").append(configuration.getRevision())
			.append(". Leave each \"revision\" as it is: it is how a conflict is noticed.\n");
		for (ObjectChange object : objects) {
			text.append("\n[").append(ConfigurationObjects.title(object)).append("]\n");
			text.append(REVISION).append(" = ").append(object.getExpectedRevision()).append('\n');
			values(object).forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
		}
		return text.toString();
	}

}
