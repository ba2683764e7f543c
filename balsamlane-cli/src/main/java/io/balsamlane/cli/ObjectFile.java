package io.balsamlane.cli;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

import io.balsamlane.schema.Caller;
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
 */
final class ObjectFile {

	private ObjectFile() {
	}

	/**
	 * Reads the objects of a file.
	 * @param text content of the file
	 * @return the objects, without expected revisions
	 * @throws UsageException if the file is not valid
	 */
	static List<ObjectChange> parse(String text) {
		INIConfiguration ini = new INIConfiguration();
		try {
			ini.read(new StringReader(text));
		}
		catch (ConfigurationException | IOException ex) {
			throw new UsageException("The file is not an INI file: " + ex.getMessage());
		}
		List<ObjectChange> objects = new ArrayList<>();
		for (String section : ini.getSections()) {
			if (section == null) {
				throw new UsageException("Keys stand before the first section; put them into a section [KIND NAME]");
			}
			objects.add(object(section, ini.getSection(section)));
		}
		return objects;
	}

	private static ObjectChange object(String section, SubnodeConfiguration keys) {
		String[] words = section.trim().split("\\s+");
		if (words.length != 2) {
			throw new UsageException(
					"Section [" + section + "] is not valid; use [KIND NAME], such as [pool prefill-a]");
		}
		ObjectChange.Builder change = ObjectChange.newBuilder().setName(words[1]);
		return switch (words[0]) {
			case "pool" -> change.setKind(ObjectKind.POOL).setPool(pool(words[1], keys)).build();
			case "service" -> change.setKind(ObjectKind.SERVICE).setService(service(words[1], keys)).build();
			case "selector" -> change.setKind(ObjectKind.SELECTOR).setSelector(selector(words[1], keys)).build();
			case "caller" -> change.setKind(ObjectKind.CALLER).setCaller(caller(words[1], keys)).build();
			default -> throw new UsageException(
					"Section [" + section + "] has an unknown kind; use pool, service, selector or caller");
		};
	}

	private static Pool pool(String name, SubnodeConfiguration keys) {
		String role = keys.getString("role", "").toUpperCase(Locale.ROOT);
		return Pool.newBuilder()
			.setName(name)
			.setRole(Stream.of(EngineRole.PREFILL, EngineRole.DECODE)
				.filter((known) -> known.name().equals(role))
				.findFirst()
				.orElse(EngineRole.ENGINE_ROLE_UNSPECIFIED))
			.setModel(keys.getString("model", ""))
			.setPlace(keys.getString("place", ""))
			.setChecksFencing(keys.getBoolean("checks_fencing", false))
			.addAllAdapters(list(keys, "adapters"))
			.setOrders(keys.getBoolean("orders", false))
			.putAllLabels(labels(keys))
			.build();
	}

	private static PlainService service(String name, SubnodeConfiguration keys) {
		return PlainService.newBuilder()
			.setName(name)
			.addAllRepeatable(list(keys, "repeatable"))
			.addAllHedged(list(keys, "hedged"))
			.putAllLabels(labels(keys))
			.build();
	}

	private static Selector selector(String name, SubnodeConfiguration keys) {
		return Selector.newBuilder()
			.setName(name)
			.setRequests(keys.getString("requests", ""))
			.setTargets(keys.getString("targets", ""))
			.addAllPlaces(list(keys, "places"))
			.setCrossRegion(keys.getBoolean("cross_region", false))
			.setPriority(keys.getInt("priority", 0))
			.setFirstTokenMillis(keys.getInt("first_token_millis", 0))
			.setBetweenTokensMillis(keys.getInt("between_tokens_millis", 0))
			.build();
	}

	private static Caller caller(String name, SubnodeConfiguration keys) {
		return Caller.newBuilder()
			.setName(name)
			.setTokenSha256(keys.getString("token_sha256", ""))
			.setRequestsPerSecond(keys.getInt("requests_per_second", 0))
			.setTokensPerSecond(keys.getInt("tokens_per_second", 0))
			.setCrossRegionBytesPerHour(keys.getLong("cross_region_bytes_per_hour", 0))
			.putAllLabels(labels(keys))
			.build();
	}

	private static List<String> list(SubnodeConfiguration keys, String key) {
		return Stream.of(keys.getString(key, "").split(","))
			.map(String::trim)
			.filter((item) -> !item.isEmpty())
			.toList();
	}

	private static Map<String, String> labels(SubnodeConfiguration keys) {
		Map<String, String> labels = new LinkedHashMap<>();
		list(keys, "labels").forEach((label) -> {
			int equals = label.indexOf('=');
			if (equals < 1) {
				throw new UsageException("Label \"" + label + "\" has no value; use labels = KEY=VALUE, KEY=VALUE");
			}
			labels.put(label.substring(0, equals).trim(), label.substring(equals + 1).trim());
		});
		return labels;
	}

}
