package io.balsamlane.core.forwarding;

import java.util.List;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;

/**
 * Factory methods for servers and requests in tests.
 */
final class ForwardingFixture {

	private ForwardingFixture() {
	}

	static ListedServer server(String name, EngineStage stage, String place, boolean leaving, long startedMillis) {
		BackendServer server = new BackendServer(ServerName.of(name), BackendServer.Kind.ENGINE, "notes",
				Place.of(place), place, Endpoint.of("127.0.0.1", 8080), leaving);
		return new ListedServer(server, stage, 64, startedMillis);
	}

	static ListedServer decode(String name, String place) {
		return server(name, EngineStage.DECODE, place, false, 1);
	}

	static ListedServer prefill(String name, String place) {
		return server(name, EngineStage.PREFILL, place, false, 1);
	}

	static RequestMetadata request(int promptTokens, int outputTokens) {
		return new RequestMetadata("request", 14_000, promptTokens, 2040, outputTokens, 0, List.of());
	}

}
