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
import io.balsamlane.router.edge.ErrorKind;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

/**
 * A call of a plain service. Its answer is read whole before a byte of it is passed on,
 * so that a broken answer of a repeatable call can be replaced.
 */
final class PlainExchange extends ForwardedExchange {

	private static final int SERVER_ERROR = 500;

	private static long lastCall;

	private final Set<BackendServer> tried = new HashSet<>();

	private ServerCall call;

	private ListedServer server;

	private long callNumber;

	private boolean counted;

	PlainExchange(ForwardingParts parts, HttpServerRequest request, RequestMetadata facts, ForwardingRoute route,
			ForwardedService service, Buffer body, long startNanos) {
		super(parts, request, facts, route, service, body, startNanos);
	}

	@Override
	void attempt() {
		Map<BackendServer, ListedServer> usable = parts().state()
			.usable(service().name())
			.stream()
			.collect(Collectors.toMap(ListedServer::server, Function.identity()));
		long nowNanos = System.nanoTime();
		Optional<BackendServer> chosen = parts().state()
			.replicas()
			.choose(List.copyOf(usable.keySet()), this.tried, route().kind().repeatable(), nowNanos);
		if (chosen.isEmpty()) {
			refuse(ErrorKind.NO_SERVER, usable.size() + " servers of " + service().name() + " are usable, all tried",
					0);
			return;
		}
		this.server = usable.get(chosen.get());
		this.tried.add(chosen.get());
		attempts().started(this.server.name());
		this.callNumber = ++lastCall;
		this.counted = true;
		parts().state().replicas().started(chosen.get(), this.callNumber, nowNanos);
		logChoice("server-chosen", this.server, usable.size() + " usable");
		this.call = new ServerCall(parts(), this.server, this::answered, this::ended);
		this.call.start(request(), facts().requestId(), body(), remainingMillis(), (headers) -> {
		});
	}

	private void answered(HttpClientResponse answer) {
		ServerCall current = this.call;
		AnswerBody.read(answer, parts().limits().maxAnswerBytes()).onComplete((read) -> {
			if (this.call != current || isDone()) {
				return;
			}
			this.call = null;
			if (read.failed()) {
				current.cancel();
				ended(new AttemptOutcome.Broken(read.cause().getMessage()));
				return;
			}
			if (answer.statusCode() / 100 == 2 && !parts().dialect().signed(answer.headers())) {
				current.cancel();
				ended(new AttemptOutcome.Broken("the answer has no signature"));
				return;
			}
			whole(answer, read.result());
		});
	}

	private void whole(HttpClientResponse answer, Buffer content) {
		int status = answer.statusCode();
		cleared();
		release((status >= SERVER_ERROR) ? Result.FAILED : Result.SUCCEEDED);
		NextStep step = attempts().ended(new AttemptOutcome.Answered(status), timeLeft());
		if (step == NextStep.TRY_AGAIN) {
			log("attempt-repeated", "server", this.server.name(), "status", status);
			parts().metrics().count("repeats_total", "server-error");
			attempt();
		}
		else if (finish("answered", status)) {
			sendHead(answer);
			request().response().end(content);
		}
	}

	private void ended(AttemptOutcome outcome) {
		this.call = null;
		if (isDone()) {
			return;
		}
		suspect(this.server, outcome, 0);
		release((outcome instanceof AttemptOutcome.NotRun) ? Result.ABANDONED : Result.FAILED);
		NextStep step = attempts().ended(outcome, timeLeft());
		log("attempt-ended", "server", this.server.name(), "outcome", outcome, "next", step);
		parts().metrics().count("attempts_failed_total", outcome.getClass().getSimpleName());
		if (step == NextStep.TRY_AGAIN) {
			attempt();
		}
		else if (step == NextStep.REFUSE) {
			refuse(ErrorKind.SERVERS_FULL, "the servers that were asked did not run the request", 0);
		}
		else {
			fail(ErrorKind.SERVER_BROKE, "the server gave no whole answer");
		}
	}

	private void release(Result result) {
		if (!this.counted) {
			return;
		}
		this.counted = false;
		BackendServer backend = this.server.server();
		switch (result) {
			case SUCCEEDED -> parts().state().replicas().succeeded(backend, this.callNumber, System.nanoTime());
			case FAILED -> parts().state().replicas().failed(backend, this.callNumber, System.nanoTime());
			default -> parts().state().replicas().abandoned(backend, this.callNumber);
		}
	}

	@Override
	void cancel(String reason) {
		if (this.call != null) {
			log("attempt-cancelled", "server", this.server.name(), "reason", reason);
			// A reset tells the handlers of the answer at once; they must find no call.
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
