package io.balsamlane.router.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.balsamlane.core.forwarding.AttemptOutcome;
import io.balsamlane.core.forwarding.ForwardedService;
import io.balsamlane.core.forwarding.ForwardingRoute;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.NextStep;
import io.balsamlane.core.forwarding.RequestMetadata;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.router.edge.ErrorKind;
import io.balsamlane.router.http.ResponseBodyReader;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

/**
 * Exchange with a plain service. The response is read completely before any of it is
 * forwarded, so that a repeatable request can be retried after a truncated response.
 */
final class PlainExchange extends ForwardedExchange {

	private static final int SERVER_ERROR = 500;

	private static long lastCall;

	private final Set<ServerName> tried = new HashSet<>();

	private ServerCall call;

	private ListedServer server;

	private long callNumber;

	private long attemptNanos;

	private boolean counted;

	PlainExchange(ForwardingContext context, HttpServerRequest request, RequestMetadata metadata, ForwardingRoute route,
			ForwardedService service, RequestCaller caller, Buffer body, long startNanos) {
		super(context, request, metadata, route, service, caller, body, startNanos);
	}

	@Override
	void attempt() {
		if (refuseIfKeyWithdrawn() || refuseIfQuarantined()) {
			return;
		}
		List<ListedServer> usable = context().state().usable(service().name());
		Map<BackendServer, ListedServer> untried = usable.stream()
			.filter((candidate) -> !this.tried.contains(candidate.name()))
			.collect(Collectors.toMap(ListedServer::server, Function.identity()));
		long nowNanos = System.nanoTime();
		this.attemptNanos = nowNanos;
		Optional<BackendServer> chosen = context().state()
			.replicas()
			.choose(List.copyOf(untried.keySet()), Set.of(), route().kind().repeatable(), nowNanos);
		if (chosen.isEmpty()) {
			refuse(ErrorKind.NO_SERVER,
					usable.size() + " servers of " + service().name() + " are usable, all of them were tried",
					context().state().returnMillis(service().name()));
			return;
		}
		this.server = untried.get(chosen.get());
		this.tried.add(this.server.name());
		attempts().started(this.server.name());
		this.callNumber = ++lastCall;
		this.counted = true;
		context().state().replicas().started(chosen.get(), this.callNumber, nowNanos);
		logChoice("server-chosen", this.server, usable.size() + " usable");
		this.call = new ServerCall(context(), this.server, caller(), this::answered, this::ended);
		this.call.start(request(), metadata().requestId(), body(), remainingMillis(), (headers) -> {
		});
	}

	private void answered(HttpClientResponse response) {
		ServerCall current = this.call;
		if (response.statusCode() / 100 == 2 && !context().dialect().signed(response.headers())) {
			this.call = null;
			current.cancel();
			ended(new AttemptOutcome.Broken("the response has no signature"));
			return;
		}
		ResponseBodyReader.read(response, context().limits().maxResponseBytes(), context().responseMemory())
			.onComplete((read) -> {
				if (this.call != current || isDone()) {
					return;
				}
				this.call = null;
				if (read.failed()) {
					current.cancel();
					ended(new AttemptOutcome.Broken(read.cause().getMessage()));
					return;
				}
				bodyReceived(response, read.result());
			});
	}

	private void bodyReceived(HttpClientResponse response, Buffer content) {
		int status = response.statusCode();
		recordCompletion();
		release((status >= SERVER_ERROR) ? Result.FAILED : Result.SUCCEEDED);
		NextStep step = attempts().ended(new AttemptOutcome.Answered(status), hasTimeForAttempt());
		if (step == NextStep.TRY_AGAIN) {
			log("attempt-repeated", "server", this.server.name(), "status", status);
			context().metrics().count("repeats_total", "server-error");
			attempt();
		}
		else if (finish("answered", status)) {
			sendHead(response);
			request().response().end(content);
		}
	}

	private void ended(AttemptOutcome outcome) {
		this.call = null;
		if (isDone()) {
			return;
		}
		recordBrokenAttempt(this.server, outcome, 0, 0, this.attemptNanos);
		boolean unaffected = outcome instanceof AttemptOutcome.NotRun || isWithdrawn(outcome);
		release(unaffected ? Result.ABANDONED : Result.FAILED);
		NextStep step = attempts().ended(outcome, hasTimeForAttempt());
		log("attempt-ended", "server", this.server.name(), "outcome", outcome, "next", step);
		context().metrics().count("attempts_failed_total", outcome.getClass().getSimpleName());
		if (step == NextStep.TRY_AGAIN) {
			attempt();
		}
		else if (step == NextStep.REFUSE) {
			refuse(ErrorKind.SERVERS_FULL, "no server accepted the request",
					context().state().returnMillis(service().name()));
		}
		else {
			fail(ErrorKind.SERVER_BROKE, "the server sent no complete response");
		}
	}

	private void release(Result result) {
		if (!this.counted) {
			return;
		}
		this.counted = false;
		BackendServer backend = this.server.server();
		switch (result) {
			case SUCCEEDED -> context().state().replicas().succeeded(backend, this.callNumber, System.nanoTime());
			case FAILED -> context().state().replicas().failed(backend, this.callNumber, System.nanoTime());
			default -> context().state().replicas().abandoned(backend, this.callNumber);
		}
	}

	@Override
	void cancel(String reason) {
		if (this.call != null) {
			log("attempt-cancelled", "server", this.server.name(), "reason", reason);
			// A reset invokes the handlers of the response synchronously; with no current
			// call they do nothing.
			ServerCall running = this.call;
			this.call = null;
			attempts().ended(running.cancelled(reason), false);
		}
		release(Result.ABANDONED);
	}

	private enum Result {

		SUCCEEDED, FAILED, ABANDONED

	}

}
