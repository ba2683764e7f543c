package io.balsamlane.router.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
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
 * One model request from its grant to its last token, over as many attempts as it takes.
 * <p>
 * Runs on one event loop. Data of an attempt that is no longer the present one is
 * dropped.
 */
final class ModelExchange {

	/** Most attempts that end without work done: refusals and unreachable engines. */
	private static final int MAX_REFUSALS = 20;

	/** Refusals after which the next attempt waits, so that engines can free memory. */
	private static final int REFUSALS_WITHOUT_PAUSE = 4;

	private static final int MAX_REFUSAL_PAUSE_MILLIS = 250;

	/** Longest time for which a suspected request waits until it can run apart. */
	private static final long MAX_TURN_WAIT_NANOS = 3_000_000_000L;

	private final ModelPath path;

	private final ModelRequest request;

	private final Caller caller;

	private final Route.ToEngines route;

	private final AnswerWriter answer;

	private final String traceparent;

	private final EngineSettings limits;

	private final ProgressTimer progress;

	private final Set<String> excludedServers = new HashSet<>();

	private final long startedNanos = System.nanoTime();

	private int number;

	private Attempt attempt;

	private int failures;

	private int refusals;

	private int delivered;

	private Ran ran = Ran.NO;

	private boolean suspected;

	private boolean done;

	ModelExchange(ModelPath path, ModelRequest request, Caller caller, Route.ToEngines route, AnswerWriter answer,
			String traceparent) {
		this.path = path;
		this.request = request;
		this.caller = caller;
		this.route = route;
		this.answer = answer;
		this.traceparent = traceparent;
		this.limits = path.settings().getEngines();
		this.progress = new ProgressTimer(path.context().owner(), this::silent);
	}

	void start() {
		record(EventKind.REQUEST_ACCEPTED, "", "model " + this.request.model());
		if (this.path.health().isQuarantined(this.request.fingerprint())) {
			fail(ErrorKind.QUARANTINED.text(), "the request is quarantined", 0);
			return;
		}
		this.suspected = this.path.health().isSuspected(this.request.fingerprint());
		nextAttempt();
	}

	private void nextAttempt() {
		if (this.done) {
			return;
		}
		int expected = ++this.number;
		SchedulingSettings targets = this.path.settings().getScheduling();
		int firstToken = orDefault(this.route.selector().getFirstTokenMillis(), targets.getFirstTokenMillis());
		long elapsedMillis = (System.nanoTime() - this.startedNanos) / 1_000_000;
		// A retry gets the full time again: its work is started, so it is completed late
		// rather than refused.
		long remaining = (this.ran == Ran.NO) ? Math.max(1, firstToken - elapsedMillis) : firstToken;
		GrantRequest wanted = GrantRequest.newBuilder()
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
			.addAllExcludedServers(excluded())
			.setFingerprint(this.request.fingerprint())
			.setResumeOffset(this.delivered)
			.build();
		this.path.grants()
			.request(wanted, this.route)
			.onSuccess((reply) -> this.path.context().runOnContext((ignored) -> granted(expected, reply)));
	}

	private static int orDefault(int value, int defaultValue) {
		return (value > 0) ? value : defaultValue;
	}

	private String place() {
		return this.path.settings().getNode().getPlace();
	}

	private static List<String> pools(List<BackendServer> servers) {
		return servers.stream().map(BackendServer::group).distinct().toList();
	}

	// Collects the servers that the next attempt must avoid. Exclusions that only say
	// that a server failed this request are dropped if no server would be left. A
	// suspected request has one server of each kind.
	private Set<String> excluded() {
		Set<String> hard = new HashSet<>(this.path.health().unavailableServers(names(this.route.prefill())));
		hard.addAll(this.path.health().unavailableServers(names(this.route.decode())));
		Set<String> failed = new HashSet<>(hard);
		failed.addAll(this.excludedServers);
		if (!leavesChoice(failed)) {
			this.excludedServers.clear();
			failed = hard;
		}
		if (!this.suspected) {
			return failed;
		}
		Set<String> apart = new HashSet<>(failed);
		apart.addAll(othersThanOwn(names(this.route.prefill()), failed));
		apart.addAll(othersThanOwn(names(this.route.decode()), failed));
		return apart;
	}

	private List<String> othersThanOwn(List<String> servers, Set<String> excluded) {
		List<String> choice = servers.stream().filter((server) -> !excluded.contains(server)).toList();
		Optional<String> own = this.path.health().isolationServer(this.request.fingerprint(), choice);
		return choice.stream().filter((server) -> !server.equals(own.orElse(null))).toList();
	}

	private boolean leavesChoice(Set<String> excluded) {
		return !excluded.containsAll(names(this.route.prefill())) && !excluded.containsAll(names(this.route.decode()));
	}

	private static List<String> names(List<BackendServer> servers) {
		return servers.stream().map((server) -> server.name().value()).toList();
	}

	private void granted(int expected, GrantReply reply) {
		if (!reply.getGranted()) {
			if (!this.done) {
				notGranted(reply);
			}
			return;
		}
		Optional<Endpoint> prefill = endpoint(this.route.prefill(), reply.getPrefillServer());
		Optional<Endpoint> decode = endpoint(this.route.decode(), reply.getDecodeServer());
		Attempt granted = new Attempt(this.request.requestId(), reply, prefill.orElse(null), decode.orElse(null));
		if (this.done || expected != this.number) {
			update(granted, GrantUpdate.Kind.RELEASED, "");
			return;
		}
		if (prefill.isEmpty() || decode.isEmpty()
				|| this.path.health().unavailableServers(names(this.route.prefill())).contains(reply.getPrefillServer())
				|| this.path.health()
					.unavailableServers(names(this.route.decode()))
					.contains(reply.getDecodeServer())) {
			// An engine may have said that it leaves while the request was queued.
			update(granted, GrantUpdate.Kind.RELEASED, "");
			refused("a granted engine takes no new work");
			return;
		}
		this.attempt = granted;
		this.path.carried().add(granted.id());
		record(EventKind.REQUEST_GRANTED, granted.prefillServer() + " > " + granted.decodeServer(), reply.getReason());
		prefill(granted);
	}

	private void notGranted(GrantReply reply) {
		if (this.ran == Ran.NO || this.refusals >= MAX_REFUSALS) {
			fail(reply.getRefusalKind(), reply.getReason(), Math.max(1, reply.getRetryAfterMillis()));
			return;
		}
		this.refusals++;
		int pauseMillis = Math.max(10, Math.min(MAX_REFUSAL_PAUSE_MILLIS, reply.getRetryAfterMillis()));
		this.path.context().owner().setTimer(pauseMillis, (id) -> nextAttempt());
	}

	private static Optional<Endpoint> endpoint(List<BackendServer> servers, String name) {
		return servers.stream()
			.filter((server) -> server.name().value().equals(name))
			.map(BackendServer::endpoint)
			.findFirst();
	}

	private void prefill(Attempt present) {
		record(EventKind.PREFILL_STARTED, present.prefillServer(), "");
		PrefillCall call = new PrefillCall(present.id(), this.request.model(), this.request.prompt(),
				this.route.selector().getPriority(), this.traceparent);
		runsOn(present, present.prefillServer());
		this.progress.start(this.limits.getPrefillProgressMillis());
		present.sendingPrefill(this.path.engines().prefill(present.prefill(), call, (result) -> {
			if (!this.done && present == this.attempt) {
				prefilled(present, result);
			}
		}));
	}

	private void runsOn(Attempt present, String server) {
		this.path.health().recordAttemptStart(server, present.id(), this.request.fingerprint(), () -> this.delivered);
	}

	private void prefilled(Attempt present, PrefillResult result) {
		String server = present.prefillServer();
		if (result instanceof PrefillResult.Ready ready) {
			this.path.health().recordAttemptEnd(server, present.id());
			this.path.health().recordSuccess(server);
			if (this.ran == Ran.NO || this.ran == Ran.UNKNOWN) {
				this.ran = Ran.YES;
			}
			record(EventKind.PREFILL_FINISHED, server,
					ready.promptTokens() + " tokens, " + ready.reusedTokens() + " from the prefix cache");
			update(present, GrantUpdate.Kind.PREFILL_DONE, server);
			decode(present, ready);
		}
		else if (result instanceof PrefillResult.Refused refused) {
			refusedBy(present, server, refused.kind());
		}
		else if (result instanceof PrefillResult.Unreachable unreachable) {
			unreachable(present, server, unreachable.message());
		}
		else if (result instanceof PrefillResult.Broken broken) {
			broken(present, server, present.prefill(), broken.message());
		}
	}

	private void decode(Attempt present, PrefillResult.Ready ready) {
		DecodeCall call = new DecodeCall(present.id(), this.request.model(), present.prefill(), ready.kvHandle(),
				ready.promptTokens(), this.request.maxTokens(), this.delivered, this.route.selector().getPriority(),
				this.traceparent);
		runsOn(present, present.decodeServer());
		present.sendingDecode();
		this.progress.start(this.limits.getFirstTokenProgressMillis());
		present.setClose(this.path.engines().decode(present.decode(), call, (event) -> {
			if (!this.done && present == this.attempt) {
				accept(present, event, ready.promptTokens());
			}
		}));
	}

	private void accept(Attempt present, DecodeEvent event, int promptTokens) {
		String server = present.decodeServer();
		if (event instanceof DecodeEvent.Token token) {
			token(present, token);
		}
		else if (event instanceof DecodeEvent.Finished finished && finished.length() == this.delivered) {
			this.answer.finish(finished.reason(), promptTokens, this.delivered);
			record(EventKind.REQUEST_FINISHED, server, this.delivered + " tokens");
			this.path.health().recordSuccess(server);
			if (this.suspected) {
				this.path.health().recordCompletion(this.request.fingerprint());
			}
			endAttempt(GrantUpdate.Kind.RELEASED, server);
			end();
		}
		else if (event instanceof DecodeEvent.Refused refused) {
			refusedBy(present, server, refused.kind());
		}
		else if (event instanceof DecodeEvent.Unreachable unreachable) {
			unreachable(present, server, unreachable.message());
		}
		else {
			broken(present, server, present.decode(), event.toString());
		}
	}

	private void token(Attempt present, DecodeEvent.Token token) {
		if (token.offset() > this.delivered) {
			broken(present, present.decodeServer(), present.decode(),
					"token " + token.offset() + " came where " + this.delivered + " was expected");
			return;
		}
		if (token.offset() < this.delivered) {
			return;
		}
		boolean firstOfAttempt = present.token();
		if (firstOfAttempt) {
			update(present, GrantUpdate.Kind.FIRST_TOKEN, present.decodeServer());
			this.progress.start(this.limits.getTokenProgressMillis());
		}
		else {
			this.progress.progress();
		}
		if (this.delivered++ == 0) {
			record(EventKind.FIRST_TOKEN_SENT, present.decodeServer(), "");
		}
		if (this.suspected) {
			this.path.health().recordProgress(this.request.fingerprint(), this.delivered);
		}
		if (!this.answer.token(token.text())) {
			cancel("the caller reads too slowly");
			this.answer.fail(Refusal.of(ErrorKind.SLOW_CALLER, Ran.YES, "the caller reads too slowly"));
		}
	}

	private void silent() {
		Attempt present = this.attempt;
		if (!this.done && present != null) {
			broken(present, present.activeServer(), present.decodeSent() ? present.decode() : present.prefill(),
					"no progress in time");
		}
	}

	// Goes on after an engine refused, which means that it did nothing.
	private void refusedBy(Attempt present, String server, String kind) {
		record(EventKind.ATTEMPT_FAILED, server, kind);
		if (kind.equals("leaving")) {
			this.path.health().recordLeaving(server);
		}
		// If the KV cache is gone, the decode engine is not at fault.
		if (!kind.equals("kv-gone")) {
			this.excludedServers.add(server);
		}
		cancelPrefill(present);
		endAttempt(GrantUpdate.Kind.FAILED, kind.equals("kv-gone") ? present.prefillServer() : server);
		refused(server + " refused: " + kind);
	}

	private void unreachable(Attempt present, String server, String reason) {
		record(EventKind.ATTEMPT_FAILED, server, reason);
		this.path.health().recordUnreachable(server);
		this.excludedServers.add(server);
		cancelPrefill(present);
		endAttempt(GrantUpdate.Kind.FAILED, server);
		refused(server + " cannot be reached");
	}

	private void refused(String reason) {
		if (++this.refusals > MAX_REFUSALS) {
			fail(ErrorKind.NO_ENGINE.text(), reason, 1000);
		}
		else if (this.refusals <= REFUSALS_WITHOUT_PAUSE) {
			nextAttempt();
		}
		else {
			int pauseMillis = Math.min(MAX_REFUSAL_PAUSE_MILLIS, 10 * this.refusals);
			this.path.context().owner().setTimer(pauseMillis, (id) -> nextAttempt());
		}
	}

	// Goes on after an engine's stream broke or fell silent: finds out whether the engine
	// lives, then starts the next attempt.
	private void broken(Attempt present, String server, Endpoint endpoint, String reason) {
		record(EventKind.ATTEMPT_FAILED, server, reason);
		if (this.ran == Ran.NO) {
			this.ran = Ran.UNKNOWN;
		}
		this.excludedServers.add(server);
		this.failures++;
		this.attempt = null;
		this.progress.stop();
		cancelOnEngines(present);
		update(present, GrantUpdate.Kind.FAILED, server);
		this.path.health().diagnose(server, endpoint).onSuccess((result) -> {
			forget(present);
			diagnosed(result);
		});
	}

	private void diagnosed(ProbeResult result) {
		if (this.done) {
			return;
		}
		if (result == ProbeResult.REFUSED) {
			this.suspected = true;
			againInTurn(System.nanoTime() + MAX_TURN_WAIT_NANOS);
		}
		else {
			again();
		}
	}

	private void againInTurn(long limitNanos) {
		this.path.health().awaitRetryPermission(this.request.fingerprint()).onSuccess((allowed) -> {
			if (this.done) {
				return;
			}
			List<String> decode = names(this.route.decode());
			int choice = decode.size() - this.path.health().unavailableServers(decode).size();
			if (!allowed) {
				fail(ErrorKind.QUARANTINED.text(), "engines died while they ran the request", 0);
			}
			else if (this.path.health().mayRunNow(this.request.fingerprint(), choice)
					|| System.nanoTime() - limitNanos > 0) {
				again();
			}
			else {
				againInTurn(limitNanos);
			}
		});
	}

	private void again() {
		if (this.done) {
			return;
		}
		if (this.failures >= this.limits.getMaxAttempts()) {
			fail(ErrorKind.ATTEMPTS_EXHAUSTED.text(), "engines failed in " + this.failures + " attempts", 1000);
			return;
		}
		record(EventKind.REQUEST_RESUMED, "", "from token " + this.delivered);
		nextAttempt();
	}

	/**
	 * Ends the exchange because the caller has gone.
	 */
	void callerGone() {
		cancel("the caller closed its connection");
	}

	private void cancel(String reason) {
		if (this.done) {
			return;
		}
		record(EventKind.REQUEST_CANCELLED, "", reason + " after " + this.delivered + " tokens");
		if (this.attempt != null) {
			cancelOnEngines(this.attempt);
			endAttempt(GrantUpdate.Kind.RELEASED, this.attempt.decodeServer());
		}
		end();
	}

	private void fail(String kind, String detail, int retryAfterMillis) {
		record(EventKind.REQUEST_REFUSED, "", kind);
		this.answer.fail(Refusal.ofText(kind, this.ran, detail, retryAfterMillis));
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
		forget(ended);
	}

	private void forget(Attempt ended) {
		this.path.carried().remove(ended.id());
		this.path.health().recordAttemptEnd(ended.prefillServer(), ended.id());
		this.path.health().recordAttemptEnd(ended.decodeServer(), ended.id());
	}

	// Frees the KV cache after the decode engine refused or could not be reached.
	private void cancelPrefill(Attempt present) {
		present.close();
		if (present.decodeSent()) {
			this.path.canceller().cancel(present.prefill(), present.id());
		}
	}

	private void cancelOnEngines(Attempt present) {
		present.close();
		// With the first token the KV cache has left the prefill engine.
		if (present.prefillSent() && present.tokens() == 0) {
			this.path.canceller().cancel(present.prefill(), present.id());
		}
		if (present.decodeSent()) {
			this.path.canceller().cancel(present.decode(), present.id());
		}
	}

	private void update(Attempt about, GrantUpdate.Kind kind, String server) {
		this.path.grants().update(about.update(kind, server, this.request.model(), place()));
	}

	private void record(EventKind kind, String subject, String detail) {
		this.path.timeline().record(kind, this.request.requestId(), this.number, subject, detail);
	}

}
