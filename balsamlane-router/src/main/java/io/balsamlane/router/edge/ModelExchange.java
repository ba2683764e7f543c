package io.balsamlane.router.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.routing.Route;
import io.balsamlane.router.decision.GrantService;
import io.balsamlane.router.engine.DecodeCall;
import io.balsamlane.router.engine.DecodeEvent;
import io.balsamlane.router.engine.EngineClient;
import io.balsamlane.router.engine.PrefillCall;
import io.balsamlane.router.engine.PrefillResult;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;

/**
 * One model request from its grant to its last token, over as many attempts as it takes.
 * <p>
 * Runs on one event loop. Data of an attempt that is no longer the present one is
 * dropped.
 */
final class ModelExchange {

	private static final int MAX_ATTEMPTS = 3;

	private final GrantService grants;

	private final EngineClient engines;

	private final Timeline timeline;

	private final ModelRequest request;

	private final Caller caller;

	private final Route.ToEngines route;

	private final AnswerWriter answer;

	private final Runnable completion;

	private final List<String> excludedServers = new ArrayList<>();

	private int attempt;

	private int delivered;

	private GrantReply grant = GrantReply.getDefaultInstance();

	private Runnable closeStream = () -> {
	};

	private boolean done;

	ModelExchange(GrantService grants, EngineClient engines, Timeline timeline, ModelRequest request, Caller caller,
			Route.ToEngines route, AnswerWriter answer, Runnable completion) {
		this.grants = grants;
		this.engines = engines;
		this.timeline = timeline;
		this.request = request;
		this.caller = caller;
		this.route = route;
		this.answer = answer;
		this.completion = completion;
	}

	void start() {
		record(EventKind.REQUEST_ACCEPTED, "", "model " + this.request.model());
		nextAttempt();
	}

	private void nextAttempt() {
		int number = ++this.attempt;
		GrantRequest wanted = GrantRequest.newBuilder()
			.setRequestId(this.request.requestId())
			.setAttempt(number)
			.setCaller(this.caller.getName())
			.setModel(this.request.model())
			.setPromptTokens(this.request.promptTokens())
			.setMaxTokens(this.request.maxTokens())
			.setPriority(this.route.selector().getPriority())
			.setResumeOffset(this.delivered)
			.addAllExcludedServers(this.excludedServers)
			.build();
		this.grants.request(wanted, this.route).onSuccess((reply) -> granted(number, reply));
	}

	private void granted(int number, GrantReply reply) {
		if (!reply.getGranted()) {
			fail(reply.getRefusalKind(), reply.getReason(), reply.getRetryAfterMillis());
			return;
		}
		this.grant = reply;
		if (this.done) {
			release(GrantUpdate.Kind.RELEASED, "");
			return;
		}
		record(EventKind.REQUEST_GRANTED, reply.getPrefillServer() + " > " + reply.getDecodeServer(),
				reply.getReason());
		record(EventKind.PREFILL_STARTED, reply.getPrefillServer(), "");
		PrefillCall call = new PrefillCall(attemptId(number), this.request.model(), this.request.prompt(),
				this.route.selector().getPriority());
		this.engines.prefill(endpoint(reply.getPrefillServer()), call).onSuccess((result) -> prefilled(number, result));
	}

	private void prefilled(int number, PrefillResult result) {
		if (this.done || number != this.attempt) {
			return;
		}
		if (result instanceof PrefillResult.Ready ready) {
			record(EventKind.PREFILL_FINISHED, this.grant.getPrefillServer(),
					ready.promptTokens() + " tokens, " + ready.reusedTokens() + " from the prefix cache");
			decode(number, ready);
		}
		else {
			retry(this.grant.getPrefillServer(), result.toString());
		}
	}

	private void decode(int number, PrefillResult.Ready ready) {
		DecodeCall call = new DecodeCall(attemptId(number), this.request.model(),
				endpoint(this.grant.getPrefillServer()), ready.kvHandle(), ready.promptTokens(),
				this.request.maxTokens(), this.delivered, this.route.selector().getPriority());
		this.closeStream = this.engines.decode(endpoint(this.grant.getDecodeServer()), call, (event) -> {
			if (!this.done && number == this.attempt) {
				accept(event, ready.promptTokens());
			}
		});
	}

	private void accept(DecodeEvent event, int promptTokens) {
		if (event instanceof DecodeEvent.Token token) {
			if (token.offset() != this.delivered) {
				return;
			}
			if (this.delivered == 0) {
				record(EventKind.FIRST_TOKEN_SENT, this.grant.getDecodeServer(), "");
			}
			this.delivered++;
			this.answer.token(token.text());
		}
		else if (event instanceof DecodeEvent.Finished finished && finished.length() == this.delivered) {
			this.answer.finish(finished.reason(), promptTokens, this.delivered);
			record(EventKind.REQUEST_FINISHED, this.grant.getDecodeServer(), this.delivered + " tokens");
			release(GrantUpdate.Kind.RELEASED, "");
			end();
		}
		else {
			retry(this.grant.getDecodeServer(), event.toString());
		}
	}

	private void retry(String server, String reason) {
		record(EventKind.ATTEMPT_FAILED, server, reason);
		cancelOnEngines();
		release(GrantUpdate.Kind.FAILED, server);
		this.excludedServers.add(server);
		if (this.attempt >= MAX_ATTEMPTS) {
			fail("attempts-exhausted", "engines failed in " + this.attempt + " attempts", 1000);
			return;
		}
		record(EventKind.REQUEST_RESUMED, "", "from token " + this.delivered);
		nextAttempt();
	}

	/**
	 * Ends the exchange because the caller has gone.
	 */
	void callerGone() {
		if (this.done) {
			return;
		}
		record(EventKind.REQUEST_CANCELLED, "", "caller closed its connection after " + this.delivered + " tokens");
		cancelOnEngines();
		release(GrantUpdate.Kind.RELEASED, "");
		end();
	}

	private void fail(String kind, String detail, int retryAfterMillis) {
		if (this.done) {
			return;
		}
		record(EventKind.REQUEST_REFUSED, "", kind);
		Ran ran = (this.attempt > 1 || this.delivered > 0) ? Ran.UNKNOWN : Ran.NO;
		this.answer.fail(Refusal.withRetry(503, kind, ran, detail, Math.max(1, retryAfterMillis)));
		end();
	}

	private void end() {
		this.done = true;
		this.completion.run();
	}

	private void cancelOnEngines() {
		this.closeStream.run();
		String id = attemptId(this.attempt);
		Stream.of(this.grant.getPrefillServer(), this.grant.getDecodeServer())
			.filter((server) -> !server.isEmpty())
			.forEach((server) -> this.engines.cancel(endpoint(server), id));
	}

	private void release(GrantUpdate.Kind kind, String server) {
		if (this.grant.getGranted()) {
			this.grants.update(GrantUpdate.newBuilder()
				.setRequestId(this.request.requestId())
				.setAttempt(this.grant.getAttempt())
				.setModel(this.request.model())
				.setKind(kind)
				.setServer(server)
				.setGeneratedTokens(this.delivered)
				.build());
			this.grant = GrantReply.getDefaultInstance();
		}
	}

	private Endpoint endpoint(String server) {
		Optional<BackendServer> found = Stream.concat(this.route.prefill().stream(), this.route.decode().stream())
			.filter((candidate) -> candidate.name().value().equals(server))
			.findFirst();
		return found.orElseThrow(() -> new IllegalStateException("Server " + server + " is not part of the route"))
			.endpoint();
	}

	private String attemptId(int number) {
		return this.request.requestId() + "." + number;
	}

	private void record(EventKind kind, String subject, String detail) {
		this.timeline.record(kind, this.request.requestId(), this.attempt, subject, detail);
	}

}
