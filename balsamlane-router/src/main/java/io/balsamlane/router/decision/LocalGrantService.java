package io.balsamlane.router.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.routing.Route;
import io.balsamlane.core.scheduling.EnginePolicy;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import io.vertx.core.Future;

/**
 * Selects engines by the number of outstanding requests that this router has sent to
 * them. Thread-safe.
 */
public final class LocalGrantService implements GrantService {

	private static final int RETRY_AFTER_MILLIS = 1000;

	private final EnginePolicy policy;

	private final int pieceTokens;

	private final Map<String, Integer> outstandingRequests = new HashMap<>();

	private final Map<String, GrantReply> grants = new HashMap<>();

	private LocalGrantService(EnginePolicy policy, int pieceTokens) {
		this.policy = policy;
		this.pieceTokens = pieceTokens;
	}

	/**
	 * Create the service.
	 * @param policy selects an engine
	 * @param pieceTokens number of tokens in one piece of engine memory
	 * @return the service
	 */
	public static LocalGrantService create(EnginePolicy policy, int pieceTokens) {
		return new LocalGrantService(policy, pieceTokens);
	}

	@Override
	public Future<GrantReply> request(GrantRequest request, Route.ToEngines route) {
		return Future.succeededFuture(decide(request, route));
	}

	synchronized GrantReply decide(GrantRequest request, Route.ToEngines route) {
		GrantReply.Builder reply = GrantReply.newBuilder()
			.setRequestId(request.getRequestId())
			.setAttempt(request.getAttempt());
		Optional<String> prefill = choose(route.prefill(), request.getExcludedServersList());
		Optional<String> decode = choose(route.decode(), request.getExcludedServersList());
		if (prefill.isEmpty() || decode.isEmpty()) {
			return reply.setRefusalKind("no-engine")
				.setReason("no engine is left that has not failed for this request")
				.setRetryAfterMillis(RETRY_AFTER_MILLIS)
				.build();
		}
		int pieces = (request.getPromptTokens() + request.getMaxTokens() + this.pieceTokens - 1) / this.pieceTokens;
		GrantReply granted = reply.setGranted(true)
			.setPrefillServer(prefill.get())
			.setDecodeServer(decode.get())
			.setReservedPieces(pieces)
			.setReason("selected by this router without a scheduler")
			.build();
		addGrant(granted);
		return granted;
	}

	/**
	 * Add a grant to the outstanding requests of its engines.
	 * @param granted the grant
	 */
	synchronized void addGrant(GrantReply granted) {
		if (this.grants.put(key(granted.getRequestId(), granted.getAttempt()), granted) == null) {
			servers(granted).forEach((server) -> this.outstandingRequests.merge(server, 1, Integer::sum));
		}
	}

	private Optional<String> choose(List<BackendServer> servers, List<String> excluded) {
		List<String> names = servers.stream()
			.map((server) -> server.name().value())
			.filter((name) -> !excluded.contains(name))
			.toList();
		if (names.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(this.policy.choose(names, (server) -> this.outstandingRequests.getOrDefault(server, 0)));
	}

	@Override
	public synchronized void update(GrantUpdate update) {
		if (update.getKind() != GrantUpdate.Kind.RELEASED && update.getKind() != GrantUpdate.Kind.FAILED) {
			return;
		}
		GrantReply grant = this.grants.remove(key(update.getRequestId(), update.getAttempt()));
		if (grant != null) {
			servers(grant).forEach((server) -> this.outstandingRequests.computeIfPresent(server,
					(name, count) -> (count > 1) ? count - 1 : null));
		}
	}

	private static Stream<String> servers(GrantReply grant) {
		return Stream.of(grant.getPrefillServer(), grant.getDecodeServer());
	}

	private static String key(String requestId, int attempt) {
		return requestId + "." + attempt;
	}

}
