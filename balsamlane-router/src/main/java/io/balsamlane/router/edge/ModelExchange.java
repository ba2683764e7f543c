package io.balsamlane.router.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.retry.Quarantine;
import io.balsamlane.core.routing.Route;
import io.balsamlane.router.engine.DecodeCall;
import io.balsamlane.router.engine.DecodeEvent;
import io.balsamlane.router.engine.EngineClient.ProbeResult;
import io.balsamlane.router.engine.PrefillCall;
import io.balsamlane.router.engine.PrefillResult;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.EngineSettings;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import io.balsamlane.schema.SchedulingSettings;

/**
 * Runs a model request from its grant to its last token, with as many attempts as it
 * needs and is allowed.
 * <p>
 * Confined to one event loop. Results of an attempt that is no longer the current one are
 * ignored.
 */
final class ModelExchange {

	/** Maximum number of attempts without work done: refusals and unreachable engines. */
	private static final int MAX_REFUSALS = 20;

	/** Refusals before further attempts are delayed so that engines can free memory. */
	private static final int REFUSALS_WITHOUT_PAUSE = 4;

	private static final int MAX_REFUSAL_PAUSE_MILLIS = 250;

	/** Maximum time for which a suspected request waits to run in isolation. */
	private static final long MAX_ISOLATION_WAIT_NANOS = 3_000_000_000L;

	private final ModelRequestServices services;

	private final ModelRequest request;

	private final Caller caller;

	private final Route.ToEngines route;

	private final ResponseWriter responseWriter;

	private final String traceparent;

	private final EngineSettings limits;

	private final ProgressTimer progress;

	private final Set<String> excludedServers = new HashSet<>();

	private final long startedNanos = System.nanoTime();

	private int attemptNumber;

	private Attempt attempt;

	private int failures;

	private int refusals;

	private int deliveredTokens;

	private Ran ran = Ran.NO;

	private boolean suspected;

	private boolean done;

	ModelExchange(ModelRequestServices services, ModelRequest request, Caller caller, Route.ToEngines route,
			ResponseWriter responseWriter, String traceparent) {
		this.services = services;
		this.request = request;
		this.caller = caller;
		this.route = route;
		this.responseWriter = responseWriter;
		this.traceparent = traceparent;
		this.limits = services.settings().getEngines();
		this.progress = new ProgressTimer(services.context().owner(), this::progressTimedOut);
	}

	void start() {
		record(EventKind.REQUEST_ACCEPTED, "", "model " + this.request.model());
		this.suspected = this.services.health().isSuspected(this.request.fingerprint());
		nextAttempt();
	}

	private void nextAttempt() {
		if (this.done) {
			return;
		}
		if (this.services.health().isQuarantined(this.request.fingerprint(), this.request.prefixes())) {
			fail(ErrorKind.QUARANTINED.text(), "the request or a prefix of its prompt is quarantined", 0);
			return;
		}
		int expected = ++this.attemptNumber;
		SchedulingSettings targets = this.services.settings().getScheduling();
		int firstToken = orDefault(this.route.selector().getFirstTokenMillis(), targets.getFirstTokenMillis());
		long elapsedMillis = (System.nanoTime() - this.startedNanos) / 1_000_000;
		// A retry after work was done gets the full time again, because completing the
		// request late is better than refusing it.
		long remaining = (this.ran == Ran.NO) ? Math.max(1, firstToken - elapsedMillis) : firstToken;
		GrantRequest grantRequest = GrantRequest.newBuilder()
			.setRequestId(this.request.requestId())
			.setAttempt(expected)
			.setCaller(this.caller.getName())
			.setModel(this.request.model())
			.setPlace(place())
			.addAllPrefillPools(pools(this.route.prefill()))
			.addAllDecodePools(pools(this.route.decode()))
			.setPromptTokens(this.request.promptTokens())
			.setMaxTokens(this.request.maxTokens())
			.setPriority(this.route.selector().getPriority())
			.setFirstTokenRemainingMillis((int) remaining)
			.setBetweenTokensMillis(
					orDefault(this.route.selector().getBetweenTokensMillis(), targets.getBetweenTokensMillis()))
			.addAllPrefixHashes(this.request.prefixHashes())
			.addAllExcludedServers(serversToExclude())
			.setFingerprint(this.request.fingerprint())
			.setResumeOffset(this.deliveredTokens)
			.build();
		this.services.grants()
			.request(grantRequest, this.route)
			.onSuccess((reply) -> this.services.context().runOnContext((ignored) -> handleGrantReply(expected, reply)));
	}

	private static int orDefault(int value, int defaultValue) {
		return (value > 0) ? value : defaultValue;
	}

	private String place() {
		return this.services.settings().getNode().getPlace();
	}

	private static List<String> pools(List<BackendServer> servers) {
		return servers.stream().map(BackendServer::group).distinct().toList();
	}

	// Returns the servers that the next attempt must not use. Servers that are excluded
	// only because they failed this request are allowed again if no server would remain.
	// A suspected request is restricted to one server of each role.
	private Set<String> serversToExclude() {
		Set<String> unavailable = new HashSet<>(this.services.health().unavailableServers(names(this.route.prefill())));
		unavailable.addAll(this.services.health().unavailableServers(names(this.route.decode())));
		Set<String> failed = new HashSet<>(unavailable);
		failed.addAll(this.excludedServers);
		if (!leavesServers(failed)) {
			this.excludedServers.clear();
			failed = unavailable;
		}
		if (!this.suspected) {
			return failed;
		}
		Set<String> isolating = new HashSet<>(failed);
		isolating.addAll(serversExceptAssigned(names(this.route.prefill()), failed));
		isolating.addAll(serversExceptAssigned(names(this.route.decode()), failed));
		return isolating;
	}

	private List<String> serversExceptAssigned(List<String> servers, Set<String> excluded) {
		List<String> candidates = servers.stream().filter((server) -> !excluded.contains(server)).toList();
		Optional<String> assigned = this.services.health().isolationServer(this.request.fingerprint(), candidates);
		return candidates.stream().filter((server) -> !server.equals(assigned.orElse(null))).toList();
	}

	private boolean leavesServers(Set<String> excluded) {
		return !excluded.containsAll(names(this.route.prefill())) && !excluded.containsAll(names(this.route.decode()));
	}

	private static List<String> names(List<BackendServer> servers) {
		return servers.stream().map((server) -> server.name().value()).toList();
	}

	private void handleGrantReply(int expected, GrantReply reply) {
		if (!reply.getGranted()) {
			if (!this.done) {
				handleGrantRefusal(reply);
			}
			return;
		}
		Optional<Endpoint> prefill = endpoint(this.route.prefill(), reply.getPrefillServer());
		Optional<Endpoint> decode = endpoint(this.route.decode(), reply.getDecodeServer());
		Attempt granted = new Attempt(this.request.requestId(), reply, prefill.orElse(null), decode.orElse(null));
		if (this.done || expected != this.attemptNumber) {
			update(granted, GrantUpdate.Kind.RELEASED, "");
			return;
		}
		if (prefill.isEmpty() || decode.isEmpty()
				|| this.services.health()
					.unavailableServers(names(this.route.prefill()))
					.contains(reply.getPrefillServer())
				|| this.services.health()
					.unavailableServers(names(this.route.decode()))
					.contains(reply.getDecodeServer())) {
			// An engine may have announced its shutdown while the request was queued.
			update(granted, GrantUpdate.Kind.RELEASED, "");
			retryAfterRefusal("a granted engine no longer accepts new requests");
			return;
		}
		this.attempt = granted;
		this.services.activeAttempts().add(granted.id());
		record(EventKind.REQUEST_GRANTED, granted.prefillServer() + " > " + granted.decodeServer(), reply.getReason());
		startPrefill(granted);
	}

	private void handleGrantRefusal(GrantReply reply) {
		if (this.ran == Ran.NO || this.refusals >= MAX_REFUSALS) {
			fail(reply.getRefusalKind(), reply.getReason(), Math.max(1, reply.getRetryAfterMillis()));
			return;
		}
		this.refusals++;
		int pauseMillis = Math.max(10, Math.min(MAX_REFUSAL_PAUSE_MILLIS, reply.getRetryAfterMillis()));
		this.services.context().owner().setTimer(pauseMillis, (id) -> nextAttempt());
	}

	private static Optional<Endpoint> endpoint(List<BackendServer> servers, String name) {
		return servers.stream()
			.filter((server) -> server.name().value().equals(name))
			.map(BackendServer::endpoint)
			.findFirst();
	}

	private void startPrefill(Attempt current) {
		record(EventKind.PREFILL_STARTED, current.prefillServer(), "");
		PrefillCall call = new PrefillCall(current.id(), this.request.model(), this.request.prompt(),
				this.route.selector().getPriority(), this.traceparent);
		registerRunning(current, current.prefillServer());
		this.progress.start(this.limits.getPrefillProgressMillis());
		current.markPrefillSent(this.services.engines().prefill(current.prefill(), call, (result) -> {
			if (!this.done && current == this.attempt) {
				handlePrefillResult(current, result);
			}
		}));
	}

	private void registerRunning(Attempt current, String server) {
		this.services.health()
			.recordAttemptStart(server, current.id(), this.request.fingerprint(), this.request.prefixes(),
					() -> this.deliveredTokens);
	}

	private void handlePrefillResult(Attempt current, PrefillResult result) {
		String server = current.prefillServer();
		if (result instanceof PrefillResult.Ready ready) {
			this.services.health().recordAttemptEnd(server, current.id());
			this.services.health().recordSuccess(server);
			if (this.ran == Ran.NO || this.ran == Ran.UNKNOWN) {
				this.ran = Ran.YES;
			}
			record(EventKind.PREFILL_FINISHED, server,
					ready.promptTokens() + " tokens, " + ready.reusedTokens() + " from the prefix cache");
			update(current, GrantUpdate.Kind.PREFILL_DONE, server);
			startDecode(current, ready);
		}
		else if (result instanceof PrefillResult.Refused refused) {
			engineRefused(current, server, refused.kind());
		}
		else if (result instanceof PrefillResult.Unreachable unreachable) {
			engineUnreachable(current, server, unreachable.message());
		}
		else if (result instanceof PrefillResult.Broken broken) {
			engineFailed(current, server, current.prefill(), broken.message());
		}
	}

	private void startDecode(Attempt current, PrefillResult.Ready ready) {
		DecodeCall call = new DecodeCall(current.id(), this.request.model(), current.prefill(), ready.kvHandle(),
				ready.promptTokens(), this.request.maxTokens(), this.deliveredTokens,
				this.route.selector().getPriority(), this.traceparent);
		registerRunning(current, current.decodeServer());
		current.markDecodeSent();
		this.progress.start(this.limits.getFirstTokenProgressMillis());
		current.setCloseAction(this.services.engines().decode(current.decode(), call, (event) -> {
			if (!this.done && current == this.attempt) {
				handleDecodeEvent(current, event, ready.promptTokens());
			}
		}));
	}

	private void handleDecodeEvent(Attempt current, DecodeEvent event, int promptTokens) {
		String server = current.decodeServer();
		if (event instanceof DecodeEvent.Token token) {
			handleToken(current, token);
		}
		else if (event instanceof DecodeEvent.Finished finished && finished.length() == this.deliveredTokens) {
			this.responseWriter.finish(finished.reason(), promptTokens, this.deliveredTokens);
			record(EventKind.REQUEST_FINISHED, server, this.deliveredTokens + " tokens");
			this.services.health().recordSuccess(server);
			this.services.health().recordOutput(this.request.prefixes());
			if (this.suspected) {
				this.services.health().recordCompletion(this.request.fingerprint());
			}
			endAttempt(GrantUpdate.Kind.RELEASED, server);
			end();
		}
		else if (event instanceof DecodeEvent.Refused refused) {
			engineRefused(current, server, refused.kind());
		}
		else if (event instanceof DecodeEvent.Unreachable unreachable) {
			engineUnreachable(current, server, unreachable.message());
		}
		else {
			engineFailed(current, server, current.decode(), event.toString());
		}
	}

	private void handleToken(Attempt current, DecodeEvent.Token token) {
		if (token.offset() > this.deliveredTokens) {
			engineFailed(current, current.decodeServer(), current.decode(),
					"received token " + token.offset() + " when token " + this.deliveredTokens + " was expected");
			return;
		}
		if (token.offset() < this.deliveredTokens) {
			return;
		}
		boolean firstOfAttempt = current.recordToken();
		if (current.tokens() == Quarantine.CLEARING_TOKENS) {
			this.services.health().recordOutput(this.request.prefixes());
		}
		if (firstOfAttempt) {
			update(current, GrantUpdate.Kind.FIRST_TOKEN, current.decodeServer());
			this.progress.start(this.limits.getTokenProgressMillis());
		}
		else {
			this.progress.recordProgress();
		}
		if (this.deliveredTokens++ == 0) {
			record(EventKind.FIRST_TOKEN_SENT, current.decodeServer(), "");
		}
		if (this.suspected) {
			this.services.health().recordProgress(this.request.fingerprint(), this.deliveredTokens);
		}
		if (!this.responseWriter.writeToken(token.text())) {
			cancel("the caller reads too slowly");
			this.responseWriter.fail(Refusal.of(ErrorKind.SLOW_CALLER, Ran.YES, "the caller reads too slowly"));
		}
	}

	private void progressTimedOut() {
		Attempt current = this.attempt;
		if (!this.done && current != null) {
			engineFailed(current, current.activeServer(), current.decodeSent() ? current.decode() : current.prefill(),
					"no progress within the time limit");
		}
	}

	// Continues with the next attempt after an engine refused the call and did no work.
	private void engineRefused(Attempt current, String server, String kind) {
		record(EventKind.ATTEMPT_FAILED, server, kind);
		if (kind.equals("leaving")) {
			this.services.health().recordLeaving(server);
		}
		// A missing KV cache is not a fault of the decode engine.
		if (!kind.equals("kv-gone")) {
			this.excludedServers.add(server);
		}
		cancelPrefill(current);
		endAttempt(GrantUpdate.Kind.FAILED, kind.equals("kv-gone") ? current.prefillServer() : server);
		retryAfterRefusal(server + " refused: " + kind);
	}

	private void engineUnreachable(Attempt current, String server, String reason) {
		record(EventKind.ATTEMPT_FAILED, server, reason);
		this.services.health().recordUnreachable(server);
		this.excludedServers.add(server);
		cancelPrefill(current);
		endAttempt(GrantUpdate.Kind.FAILED, server);
		retryAfterRefusal(server + " cannot be reached");
	}

	private void retryAfterRefusal(String reason) {
		if (++this.refusals > MAX_REFUSALS) {
			fail(ErrorKind.NO_ENGINE.text(), reason, 1000);
		}
		else if (this.refusals <= REFUSALS_WITHOUT_PAUSE) {
			nextAttempt();
		}
		else {
			int pauseMillis = Math.min(MAX_REFUSAL_PAUSE_MILLIS, 10 * this.refusals);
			this.services.context().owner().setTimer(pauseMillis, (id) -> nextAttempt());
		}
	}

	// Handles an engine whose stream failed or made no progress: probes the engine, then
	// starts the next attempt.
	private void engineFailed(Attempt current, String server, Endpoint endpoint, String reason) {
		record(EventKind.ATTEMPT_FAILED, server, reason);
		if (this.ran == Ran.NO) {
			this.ran = Ran.UNKNOWN;
		}
		this.excludedServers.add(server);
		this.failures++;
		this.attempt = null;
		this.progress.stop();
		cancelOnEngines(current);
		update(current, GrantUpdate.Kind.FAILED, server);
		this.services.health().diagnose(server, endpoint).onSuccess((result) -> {
			unregister(current);
			handleProbeResult(result);
		});
	}

	private void handleProbeResult(ProbeResult result) {
		if (this.done) {
			return;
		}
		if (result == ProbeResult.REFUSED) {
			this.suspected = true;
			retryInIsolation(System.nanoTime() + MAX_ISOLATION_WAIT_NANOS);
		}
		else {
			retryAfterFailure();
		}
	}

	private void retryInIsolation(long limitNanos) {
		this.services.health()
			.awaitRetryPermission(this.request.fingerprint(), this.request.prefixes())
			.onSuccess((allowed) -> {
				if (this.done) {
					return;
				}
				List<String> decode = names(this.route.decode());
				int candidateCount = decode.size() - this.services.health().unavailableServers(decode).size();
				if (!allowed) {
					fail(ErrorKind.QUARANTINED.text(), "engines crashed while they ran the request", 0);
				}
				else if (this.services.health().mayRunNow(this.request.fingerprint(), candidateCount)
						|| System.nanoTime() - limitNanos > 0) {
					retryAfterFailure();
				}
				else {
					retryInIsolation(limitNanos);
				}
			});
	}

	private void retryAfterFailure() {
		if (this.done) {
			return;
		}
		if (this.failures >= this.limits.getMaxAttempts()) {
			fail(ErrorKind.ATTEMPTS_EXHAUSTED.text(), "engines failed in " + this.failures + " attempts", 1000);
			return;
		}
		record(EventKind.REQUEST_RESUMED, "", "from token " + this.deliveredTokens);
		nextAttempt();
	}

	/**
	 * Cancel the exchange because the caller disconnected.
	 */
	void callerDisconnected() {
		cancel("the caller closed its connection");
	}

	private void cancel(String reason) {
		if (this.done) {
			return;
		}
		record(EventKind.REQUEST_CANCELLED, "", reason + " after " + this.deliveredTokens + " tokens");
		if (this.attempt != null) {
			cancelOnEngines(this.attempt);
			endAttempt(GrantUpdate.Kind.RELEASED, this.attempt.decodeServer());
		}
		end();
	}

	private void fail(String kind, String detail, int retryAfterMillis) {
		record(EventKind.REQUEST_REFUSED, "", kind);
		this.responseWriter.fail(Refusal.ofKind(kind, this.ran, detail, retryAfterMillis));
		end();
	}

	private void end() {
		this.done = true;
		this.progress.stop();
	}

	private void endAttempt(GrantUpdate.Kind kind, String server) {
		Attempt ended = this.attempt;
		this.attempt = null;
		this.progress.stop();
		update(ended, kind, server);
		unregister(ended);
	}

	private void unregister(Attempt ended) {
		this.services.activeAttempts().remove(ended.id());
		this.services.health().recordAttemptEnd(ended.prefillServer(), ended.id());
		this.services.health().recordAttemptEnd(ended.decodeServer(), ended.id());
	}

	// Frees the KV cache on the prefill engine after the decode engine refused or could
	// not be reached.
	private void cancelPrefill(Attempt current) {
		current.close();
		if (current.decodeSent()) {
			this.services.canceller().cancel(current.prefill(), current.id());
		}
	}

	private void cancelOnEngines(Attempt current) {
		current.close();
		// The prefill engine holds the KV cache only until the first token.
		if (current.prefillSent() && current.tokens() == 0) {
			this.services.canceller().cancel(current.prefill(), current.id());
		}
		if (current.decodeSent()) {
			this.services.canceller().cancel(current.decode(), current.id());
		}
	}

	private void update(Attempt attempt, GrantUpdate.Kind kind, String server) {
		this.services.grants().update(attempt.createUpdate(kind, server, this.request.model(), place()));
	}

	private void record(EventKind kind, String subject, String detail) {
		this.services.timeline().record(kind, this.request.requestId(), this.attemptNumber, subject, detail);
	}

}
