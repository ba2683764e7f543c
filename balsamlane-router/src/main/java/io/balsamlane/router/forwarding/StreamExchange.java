package io.balsamlane.router.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.balsamlane.core.forwarding.AttemptOutcome;
import io.balsamlane.core.forwarding.EngineChoice;
import io.balsamlane.core.forwarding.EngineLimits;
import io.balsamlane.core.forwarding.EventSplitter;
import io.balsamlane.core.forwarding.ForwardedService;
import io.balsamlane.core.forwarding.ForwardingRoute;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.NextStep;
import io.balsamlane.core.forwarding.QueueDeadlines;
import io.balsamlane.core.forwarding.RequestMetadata;
import io.balsamlane.core.forwarding.SharedLoadPlacement;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.router.edge.ErrorKind;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/**
 * A model request: reads its prompt on a prefill engine or where it is generated, and
 * passes the events of the stream on as whole events, each once and in order. A resumable
 * stream that breaks off goes on at another engine within the same answer.
 */
final class StreamExchange extends ForwardedExchange {

	private static final int OK = 200;

	/** A prefill is given up after this many times the expected time. */
	private static final double PATIENCE_FACTOR = 4;

	/** Shortest wait for a prefill or a first event before it counts as stuck. */
	private static final long MIN_PATIENCE_MILLIS = 1200;

	/**
	 * Longest pause between events before a resumable stream moves; callers leave after
	 * 3.6 s on the sheets of both sites.
	 */
	private static final long EVENT_PATIENCE_MILLIS = 2200;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Share of an engine's KV cache that streams may fill. */
	private static final double FILL = 0.95;

	/** Share that late streams may fill; the rest is kept for those on time. */
	private static final double LATE_FILL = 0.75;

	/** Failed prefills after which a prompt is read where its answer is generated. */
	private static final int MAX_FAILED_PREFILLS = 2;

	/** Time after which a caller who waited in vain finds room more likely. */
	private static final int RETRY_AFTER_WAIT_MILLIS = 2500;

	private final Set<ServerName> excluded = new HashSet<>();

	private final EngineFailures failures;

	private ServerCall prefillCall;

	private ServerCall decodeCall;

	private SharedLoadPlacement.Assignment prefillTicket;

	private SharedLoadPlacement.Assignment decodeTicket;

	private ListedServer decode;

	private HttpClientResponse stream;

	private EventSplitter splitter;

	private final StreamPace pace = new StreamPace();

	private KvCache cache;

	private long attemptNanos;

	private double expectedMillis;

	private long patienceTimer = -1;

	private long lastEventId;

	private boolean headSent;

	private int failedPrefills;

	private boolean resumed;

	StreamExchange(ForwardingParts parts, HttpServerRequest request, RequestMetadata facts, ForwardingRoute route,
			ForwardedService service, Buffer body, long startNanos) {
		super(parts, request, facts, route, service, body, startNanos);
		this.failures = new EngineFailures(parts, facts.requestId());
		this.lastEventId = facts.lastEventId();
	}

	private EngineLimits engineLimits() {
		return service().engine().orElse(new EngineLimits(0, 0, 0, 0, 0));
	}

	@Override
	void attempt() {
		// A stream that goes on does not wait behind those that have not begun.
		boolean behind = !this.headSent && parts().waiting().anyWaiting(service().name());
		if (behind || !place(this, false)) {
			await();
		}
	}

	private void await() {
		long nowNanos = System.nanoTime();
		QueueDeadlines times = this.headSent ? QueueDeadlines.forInterruptedStream(route(), nowNanos, remainingMillis())
				: QueueDeadlines.forNewStream(route(), startNanos(), nowNanos, remainingMillis());
		log("waiting", "waiting", parts().waiting().size(), "longest_millis",
				(times.refuseAtNanos() - nowNanos) / NANOS_PER_MILLI);
		if (times.expired(nowNanos) || !parts().waiting().add(service().name(), this, startNanos(), times)) {
			refuse(ErrorKind.OVERLOADED, "all engines are full", RETRY_AFTER_WAIT_MILLIS);
		}
	}

	/**
	 * Ends a request that has waited for its longest time.
	 */
	void waitedInVain() {
		if (!isDone()) {
			refuse(ErrorKind.OVERLOADED, "all engines stayed full", RETRY_AFTER_WAIT_MILLIS);
		}
	}

	/**
	 * Sends a stream to an engine that has room.
	 * @param stream the stream
	 * @param late true if its first event will be late
	 * @return false if no engine has room; true if the stream was sent or has ended
	 */
	static boolean place(StreamExchange stream, boolean late) {
		return stream.isDone() || stream.place(late ? LATE_FILL : FILL);
	}

	private boolean place(double fill) {
		this.attemptNanos = System.nanoTime();
		List<ListedServer> usable = parts().state().usable(service().name());
		EngineChoice choice = parts().state()
			.engines()
			.choose(usable, engineLimits(), facts(), this.excluded,
					!this.resumed && this.failedPrefills < MAX_FAILED_PREFILLS, fill, remainingMillis(),
					this.attemptNanos);
		if (choice instanceof EngineChoice.Full) {
			return false;
		}
		if (choice instanceof EngineChoice.Disaggregated split) {
			this.expectedMillis = split.firstEventMillis();
			reserve(split.decode(), 0, fill, () -> prefill(split.prefill(), split.decode()));
		}
		else if (choice instanceof EngineChoice.Colocated whole) {
			this.expectedMillis = whole.firstEventMillis();
			reserve(whole.decode(), facts().promptTokens(), fill, () -> decode(whole.decode(), null));
		}
		else if (choice instanceof EngineChoice.NoEngine none) {
			log("not-placed", "reason", none.reason(), "usable", usable.size(), "excluded", this.excluded.size(),
					"list_age_millis", parts().state().serversAgeMillis());
			refuse(ErrorKind.NO_ENGINE, none.reason(), none.retryAfterMillis());
		}
		return true;
	}

	// Reserves memory before the prompt is read, because the result is kept only shortly.
	private void reserve(ListedServer engine, long pendingTokens, double fill, Runnable then) {
		SharedLoadPlacement.Assignment ticket = parts().state()
			.engines()
			.assign(engine, pendingTokens, facts().kvTokens());
		this.decodeTicket = ticket;
		parts().reservations()
			.confirm(facts().requestId(), engine,
					parts().state().engines().admissionLimits(engine, engineLimits(), fill), facts().kvTokens())
			.onSuccess((granted) -> {
				boolean current = !isDone() && this.decodeTicket == ticket;
				if (current && granted) {
					then.run();
				}
				else if (current) {
					ticket.end();
					this.decodeTicket = null;
					await();
				}
			});
	}

	private void prefill(ListedServer engine, ListedServer then) {
		logChoice("prefill-chosen", engine,
				"expected first event after " + Math.round(this.expectedMillis) + " ms, then " + then.name());
		log("request-size", "prompt_tokens", facts().promptTokens(), "max_output_tokens", facts().maxOutputTokens(),
				"expected_output_tokens", facts().expectedOutputTokens());
		this.prefillTicket = parts().state().engines().assign(engine, facts().promptTokens(), facts().promptTokens());
		this.prefillCall = new ServerCall(parts(), engine, (answer) -> prefilled(engine, then, answer),
				(outcome) -> prefillFailed(engine, outcome));
		watch(() -> {
			ServerCall slow = this.prefillCall;
			this.prefillCall = null;
			slow.cancel();
			prefillFailed(engine, new AttemptOutcome.Broken("no result in time"));
		});
		this.prefillCall.start(request(), facts().requestId(), body(), remainingMillis(),
				parts().dialect()::prefillOnly);
	}

	private void prefilled(ListedServer engine, ListedServer then, HttpClientResponse answer) {
		ServerCall current = this.prefillCall;
		AnswerBody.read(answer, parts().limits().maxAnswerBytes()).onComplete((read) -> {
			if (this.prefillCall != current || isDone()) {
				return;
			}
			Optional<String> handle = (read.succeeded() && answer.statusCode() == OK)
					? parts().dialect().handle(read.result()) : Optional.empty();
			if (handle.isEmpty()) {
				this.prefillCall = null;
				current.cancel();
				prefillFailed(engine, new AttemptOutcome.Broken("status " + answer.statusCode()));
				return;
			}
			this.prefillCall = null;
			unwatch();
			endPrefill();
			parts().state().engines().recordSuccess(engine.name());
			parts().metrics().time("prefill", System.nanoTime() - this.attemptNanos);
			decode(then, new KvCache(engine, handle.get()));
		});
	}

	// A prefill generates nothing, so its failure leaves the request not run.
	private void prefillFailed(ListedServer engine, AttemptOutcome outcome) {
		unwatch();
		this.prefillCall = null;
		endPrefill();
		endDecode();
		if (isDone()) {
			return;
		}
		this.failures.prefillFailed(engine, outcome);
		this.excluded.add(engine.name());
		this.failedPrefills++;
		boolean again = timeLeft() && (outcome instanceof AttemptOutcome.NotSent
				|| parts().state().budget(service().name()).tryAcquire(System.nanoTime()));
		log("prefill-failed", "server", engine.name(), "outcome", outcome, "again", again);
		if (again) {
			attempt();
		}
		else {
			refuse(ErrorKind.SERVERS_FULL, "the prompt could not be read", 0);
		}
	}

	private void decode(ListedServer engine, KvCache source) {
		logChoice("decode-chosen", engine, (source != null) ? "cache of " + source.engine().name()
				: "expected first event after " + Math.round(this.expectedMillis) + " ms");
		this.decode = engine;
		this.cache = source;
		this.splitter = EventSplitter.create(parts().limits().maxEventBytes());
		this.stream = null;
		attempts().started(engine.name());
		this.excluded.add(engine.name());
		this.decodeCall = new ServerCall(parts(), engine, this::streaming, this::decodeEnded);
		if (attempts().mayFailOver()) {
			watch(EVENT_PATIENCE_MILLIS, () -> stuck("no first event in time"));
		}
		this.decodeCall.start(request(), facts().requestId(), body(), remainingMillis(), (headers) -> {
			if (source != null) {
				parts().dialect().kvSource(headers, source.engine().server().endpoint(), source.handle());
			}
			if (this.lastEventId > facts().lastEventId()) {
				parts().dialect().resumeAfter(headers, this.lastEventId);
			}
		});
	}

	private void streaming(HttpClientResponse answer) {
		if (answer.statusCode() != OK) {
			answeredOtherwise(answer);
			return;
		}
		ServerCall current = this.decodeCall;
		if (!parts().dialect().signed(answer.headers())) {
			broken(current, "the answer has no signature");
			return;
		}
		this.stream = answer;
		answer.request().connection().exceptionHandler((cause) -> broken(current, String.valueOf(cause.getMessage())));
		answer.exceptionHandler((cause) -> broken(current, String.valueOf(cause.getMessage())));
		answer.handler((bytes) -> received(current, bytes));
		answer.endHandler((ended) -> streamEnded(current));
	}

	private void answeredOtherwise(HttpClientResponse answer) {
		ServerCall current = this.decodeCall;
		AnswerBody.read(answer, parts().limits().maxAnswerBytes()).onComplete((read) -> {
			if (this.decodeCall != current || isDone()) {
				return;
			}
			if (read.failed() || this.headSent) {
				broken(current, "status " + answer.statusCode());
				return;
			}
			endDecode();
			attempts().ended(new AttemptOutcome.Answered(answer.statusCode()), false);
			if (finish("answered", answer.statusCode())) {
				sendHead(answer);
				request().response().end(read.result());
			}
		});
	}

	private void received(ServerCall current, Buffer bytes) {
		if (this.decodeCall != current || isDone()) {
			return;
		}
		try {
			this.splitter.feed(bytes.getBytes()).forEach(this::pass);
		}
		catch (IllegalArgumentException ex) {
			broken(current, ex.getMessage());
			return;
		}
		if (attempts().mayFailOver() && !isDone()) {
			watch(EVENT_PATIENCE_MILLIS, () -> stuck("no event in time"));
		}
	}

	private void pass(EventSplitter.Event event) {
		boolean numbered = event.id() != EventSplitter.Event.NO_ID;
		if (numbered && event.id() <= this.lastEventId) {
			return;
		}
		HttpServerResponse response = request().response();
		if (!this.headSent) {
			this.headSent = true;
			sendHead(this.stream);
			response.setChunked(true);
			firstEvent();
		}
		if (numbered) {
			this.lastEventId = event.id();
		}
		this.pace.event(System.nanoTime());
		response.write(Buffer.buffer(event.bytes()));
		if (response.writeQueueFull()) {
			HttpClientResponse source = this.stream;
			source.pause();
			response.drainHandler((drained) -> source.resume());
		}
	}

	private void firstEvent() {
		long nowNanos = System.nanoTime();
		double tookMillis = (nowNanos - this.attemptNanos) / 1e6;
		this.decodeTicket.completePrefill();
		parts().state().engines().recordSuccess(this.decode.name());
		if (this.cache == null) {
			parts().state().engines().recordDuration(this.decode.name(), this.expectedMillis, tookMillis, nowNanos);
		}
		parts().metrics().time("first_event", nowNanos - this.attemptNanos);
		log("first-event", "server", this.decode.name(), "took_millis", Math.round(tookMillis), "expected_millis",
				Math.round(this.expectedMillis));
	}

	private void streamEnded(ServerCall current) {
		if (this.decodeCall != current || isDone()) {
			return;
		}
		if (!this.splitter.atBoundary() || !this.headSent) {
			broken(current, "the stream ended within an event");
			return;
		}
		unwatch();
		cleared();
		log("stream-ended", "server", this.decode.name(), "events", this.pace.events(), "longest_pause_millis",
				this.pace.longestPauseNanos() / NANOS_PER_MILLI);
		parts().metrics().time("longest_pause", this.pace.longestPauseNanos());
		endDecode();
		attempts().ended(new AttemptOutcome.Answered(OK), false);
		if (finish("answered", OK)) {
			request().response().end();
		}
	}

	private void stuck(String reason) {
		if (this.decodeCall != null) {
			broken(this.decodeCall, reason);
		}
	}

	private void broken(ServerCall current, String reason) {
		if (this.decodeCall == current && !isDone()) {
			// A reset tells the handlers of the answer at once; they must find no call.
			this.decodeCall = null;
			current.cancel();
			decodeEnded(new AttemptOutcome.Broken(reason));
		}
	}

	private void decodeEnded(AttemptOutcome outcome) {
		unwatch();
		ListedServer engine = this.decode;
		KvCache source = this.cache;
		endDecode();
		if (isDone()) {
			return;
		}
		this.failures.decodeFailed(engine, source, engineLimits(), outcome);
		suspect(engine, outcome, this.lastEventId);
		NextStep step = attempts().ended(outcome, timeLeft());
		log("attempt-ended", "server", engine.name(), "outcome", outcome, "next", step, "last_event", this.lastEventId);
		parts().metrics().count("attempts_failed_total", outcome.getClass().getSimpleName());
		if (step == NextStep.TRY_AGAIN) {
			this.resumed = true;
			attempt();
		}
		else if (step == NextStep.REFUSE) {
			refuse(ErrorKind.SERVERS_FULL, "the engines that were asked did not run the request", 0);
		}
		else {
			fail(ErrorKind.SERVER_BROKE, "the engine broke the stream off");
		}
	}

	private void endPrefill() {
		if (this.prefillTicket != null) {
			this.prefillTicket.end();
			this.prefillTicket = null;
		}
	}

	private void endDecode() {
		this.decodeCall = null;
		if (this.decodeTicket != null) {
			this.decodeTicket.end();
			this.decodeTicket = null;
		}
		if (this.cache != null && !this.headSent) {
			free(this.cache);
		}
		this.cache = null;
	}

	// Frees memory that no decode engine has fetched.
	private void free(KvCache unused) {
		parts().client()
			.open(unused.engine(), HttpMethod.DELETE, parts().dialect().handlePath(unused.handle()))
			.compose((opened) -> opened.send())
			.compose((answer) -> answer.body())
			.onFailure(
					(cause) -> log("cache-not-freed", "server", unused.engine().name(), "reason", cause.getMessage()));
	}

	private void watch(Runnable action) {
		watch(Math.max(MIN_PATIENCE_MILLIS, Math.round(this.expectedMillis * PATIENCE_FACTOR)), action);
	}

	private void watch(long millis, Runnable action) {
		unwatch();
		this.patienceTimer = parts().vertx().setTimer(millis, (id) -> {
			if (!isDone()) {
				action.run();
			}
		});
	}

	private void unwatch() {
		parts().vertx().cancelTimer(this.patienceTimer);
	}

	@Override
	void cancel(String reason) {
		unwatch();
		parts().waiting().remove(service().name(), this);
		if (this.prefillCall != null) {
			log("prefill-cancelled", "reason", reason);
			ServerCall running = this.prefillCall;
			this.prefillCall = null;
			running.cancel();
		}
		if (this.decodeCall != null) {
			log("attempt-cancelled", "server", this.decode.name(), "reason", reason);
			ServerCall running = this.decodeCall;
			this.decodeCall = null;
			attempts().ended(running.cancelled(reason), false);
		}
		endPrefill();
		endDecode();
	}

}
