package io.balsamlane.router.settings;

import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.balsamlane.schema.EdgeSettings;
import io.balsamlane.schema.PeerSettings;
import io.balsamlane.schema.Settings;
import io.netty.util.NetUtil;

/**
 * Validate rules that the bounds of a single key in the schema cannot express.
 */
final class SettingsRules {

	// A frame contains the whole configuration, which the platform store limits to 1 MB,
	// and its envelope.
	private static final int MIN_FRAME_BYTES = (1 << 20) + 65_536;

	private final List<Violation> violations = new ArrayList<>();

	private SettingsRules() {
	}

	static List<Violation> check(Settings settings) {
		SettingsRules rules = new SettingsRules();
		rules.checkAddress(settings);
		rules.checkUrl("store.url", settings.getStore().getUrl());
		rules.checkUrl("hosts.url", settings.getHosts().getUrl());
		rules.checkPorts(settings.getEdge(), settings.getPeer());
		rules.checkPeer(settings.getPeer());
		return rules.violations;
	}

	private void checkAddress(Settings settings) {
		String address = settings.getNode().getAddress();
		byte[] bytes = NetUtil.createByteArrayFromIpAddressString(address);
		if (bytes == null) {
			addViolation("node.address", address, "is not an IP address; use one such as 10.0.0.7");
		}
		else if (!isLoopback(bytes) && settings.getPeer().getKey().isEmpty()) {
			addViolation("node.address", address, "is not a loopback address, which needs a shared key; "
					+ "set [peer] key to the key of the fleet, or use 127.0.0.1");
		}
	}

	private static boolean isLoopback(byte[] address) {
		try {
			return InetAddress.getByAddress(address).isLoopbackAddress();
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("Invalid IP address length: " + address.length + " bytes", ex);
		}
	}

	private void checkUrl(String key, String value) {
		if (value.isEmpty()) {
			return;
		}
		try {
			URI uri = URI.create(value);
			if ("http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0) {
				return;
			}
		}
		catch (IllegalArgumentException ex) {
			// Reported below, as for an unsupported URL.
		}
		addViolation(key, value, "is not a usable URL; use http://ADDRESS:PORT, followed by a path if there is one");
	}

	private void checkPorts(EdgeSettings edge, PeerSettings peer) {
		Map<Integer, String> used = new TreeMap<>();
		checkPort(used, "edge.port", edge.getPort());
		checkPort(used, "edge.admin_port", edge.getAdminPort());
		checkPort(used, "peer.port", peer.getPort());
	}

	private void checkPort(Map<Integer, String> used, String key, int port) {
		String other = (port != 0) ? used.putIfAbsent(port, key) : null;
		if (other != null) {
			addViolation(key, port, "is also the value of " + other + "; give each its own port");
		}
	}

	private void checkPeer(PeerSettings peer) {
		if (!peer.getPreviousKey().isEmpty() && peer.getKey().isEmpty()) {
			addViolation("peer.previous_key", "(hidden)",
					"is set without a key; set [peer] key, or remove previous_key");
		}
		if (!peer.getPreviousKey().isEmpty() && peer.getPreviousKey().equals(peer.getKey())) {
			addViolation("peer.previous_key", "(hidden)", "is equal to key; remove previous_key");
		}
		if (peer.getProbeTimeoutMillis() >= peer.getProbeMillis()) {
			addViolation("peer.probe_timeout_millis", peer.getProbeTimeoutMillis(),
					"is not below probe_millis (" + peer.getProbeMillis()
							+ "), so that indirect probes would never be sent; lower it, or raise probe_millis");
		}
		if (peer.getSuspicionMillis() < peer.getProbeMillis()) {
			addViolation("peer.suspicion_millis", peer.getSuspicionMillis(), "is below probe_millis ("
					+ peer.getProbeMillis() + "), too short to refute a suspicion; raise it to two probes or more");
		}
		if (peer.getMaxFrameBytes() < MIN_FRAME_BYTES) {
			addViolation("peer.max_frame_bytes", peer.getMaxFrameBytes(),
					"is too small for a configuration of 1 MB; use " + MIN_FRAME_BYTES + " or more");
		}
	}

	private void addViolation(String key, Object value, String remedy) {
		this.violations.add(new Violation(key, String.valueOf(value), remedy));
	}

	/**
	 * A violated rule.
	 *
	 * @param key the section and key to correct
	 * @param value the value found
	 * @param remedy the problem and how to correct it
	 */
	record Violation(String key, String value, String remedy) {
	}

}
