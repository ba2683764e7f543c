import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Configurations and the temporary directory of a case. */
final class Deployment {

	private Deployment() {
	}

	static Path temporaryDirectory() throws IOException {
		Path directory = Files.createTempDirectory("review-3-");
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			try (Stream<Path> files = Files.walk(directory)) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
			catch (IOException ex) {
				// Nothing else uses the directory.
			}
		}));
		return directory;
	}

	static String configuration(long version, String routes, String services) {
		return configuration(version, routes, services, "");
	}

	static String configuration(long version, String routes, String services, String more) {
		return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "]" + more
				+ ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
				+ "\"idle_timeout_ms\":15000}}";
	}

	static String plainRoute(String prefix, String kind, String service, int timeoutMillis, int attempts) {
		return "{\"name\":\"r" + prefix.replace("/", "-") + "\",\"host\":\"a.example\",\"prefix\":\"" + prefix
				+ "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMillis
				+ ",\"target_latency_ms\":400,\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
				+ "}";
	}

	static String streamRoute(String prefix, String service, boolean resumable) {
		return "{\"name\":\"r" + prefix.replace("/", "-") + "\",\"host\":\"a.example\",\"prefix\":\"" + prefix
				+ "\",\"kind\":\"streaming\",\"timeout_ms\":14000,\"target_latency_ms\":900,\"priority\":1,\"service\":\""
				+ service + "\",\"max_attempts\":" + (resumable ? 2 : 1) + ",\"sticky\":true,\"resumable\":" + resumable
				+ ",\"itl_target_ms\":300}";
	}

	static String plainService(String name) {
		return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}";
	}

	static String modelService(String name) {
		return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,"
				+ "\"engine\":{\"slots\":64,\"kv_capacity\":33770,\"kv_bytes\":18432,\"link_mbps\":550000.0,"
				+ "\"moves\":true,\"backups\":true,\"stride\":12,\"most\":12,\"kv_ttl_s\":0.5,\"switch_s\":6.0,"
				+ "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}";
	}

}
