import java.util.List;

/** Configurations of a small deployment, written like the operator's. */
final class Site {

	static final String HOST = "ficu95.example";

	private Site() {
	}

	static String route(String name, String prefix, String kind, String service, int timeoutMillis, int targetMillis,
			int attempts, boolean resumable) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
				+ "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + targetMillis
				+ ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
				+ (kind.equals("streaming") ? ",\"sticky\":true,\"resumable\":" + resumable + ",\"itl_target_ms\":300"
						: "")
				+ "}";
	}

	static String engines(String name) {
		return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\","
				+ "\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity\":33770,\"kv_bytes\":18432,"
				+ "\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":12,\"most\":12,"
				+ "\"kv_ttl_s\":0.5,\"switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,"
				+ "\"models\":[{\"name\":\"m\"}]}}";
	}

	static String plain(String name) {
		return "{\"name\":\"" + name
				+ "\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}";
	}

	static String configuration(long version, List<String> routes, List<String> services) {
		return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
				+ String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
				+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	}

	static String head(String method, String path, String id, long deadlineMillis, int length, String more) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Balsamlane-Request-Id: " + id
				+ "\r\nX-Balsamlane-Deadline-Ms: " + deadlineMillis + "\r\n" + more
				+ ((length >= 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
	}

}
