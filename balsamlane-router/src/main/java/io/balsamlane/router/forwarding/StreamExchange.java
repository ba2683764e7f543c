package io.balsamlane.router.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
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
import io.balsamlane.router.http.ResponseBodyReader;
import io.balsamlane.router.http.ResponseFraming;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/**
 * Exchange of a model request with a streamed response. Runs the prefill on a prefill
 * engine or on the engine that generates, and forwards the stream as complete events,
 * each exactly once and in order. A resumable stream that is interrupted continues on
 * another engine within the same response.
 */
final class StreamExchange extends ForwardedExchange {

	private static final int OK = 200;

	/** A prefill is aborted after this multiple of its expected duration. */
	private static final double PREFILL_TIMEOUT_FACTOR = 4;

	/** Minimum timeout for a prefill. */
	private static final long MIN_PREFILL_TIMEOUT_MILLIS = 1200;

	/**
	 * Longest pause between events before a resumable stream moves to another engine; by
	 * the data sheets of both sites, callers disconnect after 3.6 s.
	 */
	private static final long EVENT_TIMEOUT_MILLIS = 2200;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Share of an engine's KV cache that streams may occupy. */
	private static final double MAX_FILL = 0.95;

	/**
	 * Share that late streams may occupy; the rest is reserved for streams that are on
	 * time.
	 */
	private static final double MAX_FILL_WHEN_LATE = 0.75;

	/** Failed prefills after which the prefill runs on the engine that generates. */
	private static final int MAX_FAILED_PREFILLS = 2;

	/** Retry delay after an unsuccessful wait; free capacity is more likely by then. */
	private static final int RETRY_AFTER_WAIT_MILLIS = 2500;

	private final Set<ServerName> excluded = new HashSet<>();

	private final EngineFailures failures;

	private ServerCall prefillCall;

	private ServerCall decodeCall;

	private SharedLoadPlacement.Assignment prefillAssignment;

	private SharedLoadPlacement.Assignment decodeAssignment;

	private ListedServer decode;

	private HttpClientResponse stream;

	private EventSplitter splitter;

	private final EventPauseTracker pauses = new EventPauseTracker();

	private KvCache cache;

	private long attemptNanos;

	private long decodeNanos;

	private double expectedMillis;

	private long timeoutTimer = -1;

	private long lastEventId;

	/** Number of events that the current server has sent. */
	private int serverEvents;

	/** Whether the current server has sent events that were not forwarded before. */
	private boolean newEvents;

	private boolean headSent;

	private int failedPrefills;

	private boolean resumed;

	StreamExchange(ForwardingContext context, HttpServerRequest request, RequestMetadata metadata,
			ForwardingRoute route, ForwardedService service, RequestCaller caller, Buffer body, long startNanos) {
		super(context, request, metadata, route, service, caller, body, startNanos);
		this.failures = new EngineFailures(context, metadata.requestId());
		this.lastEventId = metadata.lastEventId();
	}

	private EngineLimits engineLimits() {
		return service().engine().orElse(new EngineLimits(0, 0, 0, 0, 0));
	}

	@Override
	void attempt() {
		if (refuseIfKeyWithdrawn() || refuseIfQuarantined()) {
			return;
		}
		// An interrupted stream does not queue behind those that have not started.
		boolean behind = !this.headSent && context().waiting().anyAhead(service().name(), caller().priority());
		if (behind || !place(this, false)) {
			await();
		}
	}

	private void await() {
		long nowNanos = System.nanoTime();
		QueueDeadlines times = this.headSent ? QueueDeadlines.forInterruptedStream(route(), nowNanos, remainingMillis())
				: QueueDeadlines.forNewStream(route(), startNanos(), nowNanos, remainingMillis());
		log("waiting", "waiting", context().waiting().size(), "longest_millis",
				(times.refuseAtNanos() - nowNanos) / NANOS_PER_MILLI);
		if (times.expired(nowNanos)
				|| !context().waiting().add(service().name(), this, caller().priority(), startNanos(), times)) {
			refuse(ErrorKind.OVERLOADED, "all engines are at capacity", RETRY_AFTER_WAIT_MILLIS);
		}
	}

	/**
	 * Refuse a request whose maximum waiting time has expired.
	 */
	void waitExpired() {
		if (!isDone()) {
			refuse(ErrorKind.OVERLOADED, "all engines remained at capacity", RETRY_AFTER_WAIT_MILLIS);
		}
	}

	/**
	 * Place a stream on an engine with free capacity.
	 * @param stream the stream
	 * @param late true if its first event will be late
	 * @return false if no engine has free capacity; true if the stream was placed or has
	 * ended
	 */
	static boolean place(StreamExchange stream, boolean late) {
		return stream.refuseIfKeyWithdrawn() || stream.place(late ? MAX_FILL_WHEN_LATE : MAX_FILL);
	}

	private boolean place(double fill) {
		this.attemptNanos = System.nanoTime();
		List<ListedServer> usable = context().state().usable(service().name());
		EngineChoice choice = context().state()
			.engines()
			.choose(usable, engineLimits(), metadata(), this.excluded,
					!this.resumed && this.failedPrefills < MAX_FAILED_PREFILLS, fill, remainingMillis(),
					this.attemptNanos);
		if (choice instanceof EngineChoice.Full) {
			return false;
		}
		if (choice instanceof EngineChoice.Disaggregated disaggregated) {
			this.expectedMillis = disaggregated.firstEventMillis();
			reserve(disaggregated.decode(), 0, fill, () -> prefill(disaggregated.prefill(), disaggregated.decode()),
					this::await);
		}
		else if (choice instanceof EngineChoice.Colocated colocated) {
			this.expectedMillis = colocated.firstEventMillis();
			reserve(colocated.decode(), metadata().promptTokens(), fill, () -> decode(colocated.decode(), null),
					this::await);
		}
		else if (choice instanceof EngineChoice.NoEngine noEngine) {
			log("not-placed", "reason", noEngine.reason(), "usable", usable.size(), "excluded", this.excluded.size(),
					"list_age_millis", context().state().serversAgeMillis());
			refuse(ErrorKind.NO_ENGINE, noEngine.reason(),
					Math.max(noEngine.retryAfterMillis(), context().state().returnMillis(service().name())));
		}
		return true;
	}

	// Reserves KV cache before the prefill, because its result expires quickly.
	private void reserve(ListedServer engine, long pendingTokens, double fill, Runnable then, Runnable otherwise) {
		SharedLoadPlacement.Assignment assignment = context().state()
			.engines()
			.assign(engine, pendingTokens, metadata().kvTokens());
		this.decodeAssignment = assignment;
		context().reservations()
			.confirm(metadata().requestId(), engine,
					context().state().engines().admissionLimits(engine, engineLimits(), fill), metadata().kvTokens())
			.onSuccess((granted) -> {
				boolean current = !isDone() && this.decodeAssignment == assignment;
				if (current && granted) {
					then.run();
				}
				else if (current) {
					assignment.end();
					this.decodeAssignment = null;
					otherwise.run();
				}
			});
	}

	private void prefill(ListedServer engine, ListedServer then) {
		logChoice("prefill-chosen", engine,
				"expected first event after " + Math.round(this.expectedMillis) + " ms, then " + then.name());
		log("request-size", "prompt_tokens", metadata().promptTokens(), "max_output_tokens",
				metadata().maxOutputTokens(), "expected_output_tokens", metadata().expectedOutputTokens());
		this.prefillAssignment = context().state()
			.engines()
			.assign(engine, metadata().promptTokens(), metadata().promptTokens());
		this.prefillCall = new ServerCall(context(), engine, caller(),
				(serverResponse) -> prefilled(engine, then, serverResponse),
				(outcome) -> prefillFailed(engine, outcome));
		startTimeout(() -> {
			ServerCall slow = this.prefillCall;
			this.prefillCall = null;
			slow.cancel();
			prefillFailed(engine, new AttemptOutcome.Broken("the prefill timed out"));
		});
		this.prefillCall.start(request(), metadata().requestId(), body(), remainingMillis(), (headers) -> {
			context().dialect().prefillOnly(headers);
			context().dialect().priority(headers, caller().priority());
		});
	}

	private void prefilled(ListedServer engine, ListedServer then, HttpClientResponse serverResponse) {
		ServerCall current = this.prefillCall;
		ResponseBodyReader.read(serverResponse, context().limits().maxResponseBytes(), context().responseMemory())
			.onComplete((read) -> {
				if (this.prefillCall != current || isDone()) {
					return;
				}
				Optional<String> handle = (read.succeeded() && serverResponse.statusCode() == OK)
						? context().dialect().cacheHandle(read.result()) : Optional.empty();
				if (handle.isEmpty()) {
					this.prefillCall = null;
					current.cancel();
					prefillFailed(engine, new AttemptOutcome.Broken("status " + serverResponse.statusCode()));
					return;
				}
				this.prefillCall = null;
				cancelTimeout();
				endPrefill();
				context().state().engines().recordSuccess(engine.name());
				context().metrics().time("prefill", System.nanoTime() - this.attemptNanos);
				handOver(then, new KvCache(engine, handle.get()));
			});
	}

	// The decode engine was chosen before the prefill and may have become unusable since.
	private void handOver(ListedServer chosen, KvCache source) {
		if (context().state().isUsable(chosen)) {
			decode(chosen, source);
			return;
		}
		endDecode();
		Optional<ListedServer> other = context().state()
			.engines()
			.chooseDecode(context().state().usable(service().name()), engineLimits(), metadata(), source.engine(),
					this.excluded, MAX_FILL, System.nanoTime());
		log("decode-replaced", "server", chosen.name(), "by", other.map(ListedServer::name).orElse(null));
		if (other.isPresent()) {
			reserve(other.get(), 0, MAX_FILL, () -> decode(other.get(), source), () -> {
				free(source);
				await();
			});
		}
		else {
			free(source);
			attempt();
		}
	}

	// A prefill generates no output, so a request whose prefill failed has not run.
	private void prefillFailed(ListedServer engine, AttemptOutcome outcome) {
		cancelTimeout();
		this.prefillCall = null;
		endPrefill();
		endDecode();
		if (isDone()) {
			return;
		}
		if (!isWithdrawn(outcome)) {
			this.failures.prefillFailed(engine, outcome);
		}
		recordBrokenAttempt(engine, outcome, this.lastEventId, 0, this.attemptNanos);
		this.excluded.add(engine.name());
		this.failedPrefills++;
		boolean again = hasTimeForAttempt() && (outcome instanceof AttemptOutcome.NotSent
				|| context().state().budget(service().name()).tryAcquire(System.nanoTime()));
		log("prefill-failed", "server", engine.name(), "outcome", outcome, "again", again);
		if (again) {
			attempt();
		}
		else {
			refuse(ErrorKind.SERVERS_FULL, "the prefill failed", context().state().returnMillis(service().name()));
		}
	}

	private void decode(ListedServer engine, KvCache source) {
		logChoice("decode-chosen", engine, (source != null) ? "KV cache of " + source.engine().name()
				: "expected first event after " + Math.round(this.expectedMillis) + " ms");
		this.decode = engine;
		this.cache = source;
		this.splitter = EventSplitter.create(context().limits().maxEventBytes());
		this.stream = null;
		this.serverEvents = 0;
		this.newEvents = false;
		this.decodeNanos = System.nanoTime();
		attempts().started(engine.name());
		this.excluded.add(engine.name());
		this.decodeCall = new ServerCall(context(), engine, caller(), this::streaming, this::decodeEnded);
		if (attempts().mayFailOver()) {
			startTimeout(EVENT_TIMEOUT_MILLIS, () -> decodeTimedOut("timed out waiting for the first event"));
		}
		this.decodeCall.start(request(), metadata().requestId(), body(), remainingMillis(), (headers) -> {
			context().dialect().priority(headers, caller().priority());
			if (source != null) {
				context().dialect().kvSource(headers, source.engine().server().endpoint(), source.handle());
			}
			if (this.lastEventId > metadata().lastEventId()) {
				context().dialect().resumeAfter(headers, this.lastEventId);
			}
		});
	}

	private void streaming(HttpClientResponse serverResponse) {
		if (serverResponse.statusCode() != OK || !isEventStream(serverResponse)) {
			nonStreamResponse(serverResponse);
			return;
		}
		ServerCall current = this.decodeCall;
		if (!context().dialect().signed(serverResponse.headers())) {
			abortDecode(current, "the response has no signature");
			return;
		}
		this.stream = serverResponse;
		if (ResponseFraming.endsWithConnection(serverResponse)) {
			serverResponse.request()
				.connection()
				.exceptionHandler((cause) -> abortDecode(current, String.valueOf(cause.getMessage())));
		}
		serverResponse.exceptionHandler((cause) -> abortDecode(current, String.valueOf(cause.getMessage())));
		serverResponse.handler((bytes) -> bytesReceived(current, bytes));
		serverResponse.endHandler((ended) -> streamEnded(current));
	}

	private static boolean isEventStream(HttpClientResponse serverResponse) {
		String type = serverResponse.getHeader("Content-Type");
		return type == null || type.toLowerCase(Locale.ROOT).startsWith("text/event-stream");
	}

	private void nonStreamResponse(HttpClientResponse serverResponse) {
		ServerCall current = this.decodeCall;
		if (serverResponse.statusCode() / 100 == 2 && !context().dialect().signed(serverResponse.headers())) {
			abortDecode(current, "the response has no signature");
			return;
		}
		ResponseBodyReader.read(serverResponse, context().limits().maxResponseBytes(), context().responseMemory())
			.onComplete((read) -> {
				if (this.decodeCall != current || isDone()) {
					return;
				}
				if (read.failed() || this.headSent) {
					abortDecode(current, "status " + serverResponse.statusCode());
					return;
				}
				endDecode();
				attempts().ended(new AttemptOutcome.Answered(serverResponse.statusCode()), false);
				if (finish("answered", serverResponse.statusCode())) {
					sendHead(serverResponse);
					request().response().end(read.result());
				}
			});
	}

	private void bytesReceived(ServerCall current, Buffer bytes) {
		if (this.decodeCall != current || isDone()) {
			return;
		}
		long previousEventId = this.lastEventId;
		try {
			this.splitter.feed(bytes.getBytes()).forEach(this::forward);
		}
		catch (IllegalArgumentException ex) {
			abortDecode(current, ex.getMessage());
			return;
		}
		// Only events are progress: an engine that has stalled may still send bytes.
		if (this.lastEventId > previousEventId && attempts().mayFailOver() && !isDone()) {
			startTimeout(EVENT_TIMEOUT_MILLIS, () -> decodeTimedOut("timed out waiting for the next event"));
		}
	}

	private void forward(EventSplitter.Event event) {
		if (++this.serverEvents == CrashGuard.OUTPUT_EVENTS) {
			context().crashGuard().recordOutput(traits());
		}
		boolean numbered = event.id() != EventSplitter.Event.NO_ID;
		if (!numbered && ResponseFraming.containsSecondResponse(this.stream, event.bytes())) {
			throw new IllegalArgumentException("a second response follows");
		}
		if (numbered && event.id() <= this.lastEventId) {
			return;
		}
		this.newEvents = true;
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
		this.pauses.recordEvent(System.nanoTime());
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
		this.decodeAssignment.completePrefill();
		context().state().engines().recordSuccess(this.decode.name());
		if (this.cache == null) {
			context().state().engines().recordDuration(this.decode.name(), this.expectedMillis, tookMillis, nowNanos);
		}
		context().metrics().time("first_event", nowNanos - this.attemptNanos);
		log("first-event", "server", this.decode.name(), "took_millis", Math.round(tookMillis), "expected_millis",
				Math.round(this.expectedMillis));
	}

	private void streamEnded(ServerCall current) {
		if (this.decodeCall != current || isDone()) {
			return;
		}
		// A continuation without a new event does not show that the stream is complete.
		if (!this.splitter.atBoundary() || !this.newEvents) {
			abortDecode(current, "the stream ended within an event or before the first one");
			return;
		}
		cancelTimeout();
		recordCompletion();
		log("stream-ended", "server", this.decode.name(), "events", this.pauses.events(), "longest_pause_millis",
				this.pauses.longestPauseNanos() / NANOS_PER_MILLI);
		context().metrics().time("longest_pause", this.pauses.longestPauseNanos());
		endDecode();
		attempts().ended(new AttemptOutcome.Answered(OK), false);
		if (finish("answered", OK)) {
			request().response().end();
		}
	}

	private void decodeTimedOut(String reason) {
		if (this.decodeCall != null) {
			abortDecode(this.decodeCall, reason);
		}
	}

	private void abortDecode(ServerCall current, String reason) {
		if (this.decodeCall == current && !isDone()) {
			// A reset invokes the handlers of the response synchronously; with no current
			// call they do nothing.
			this.decodeCall = null;
			current.cancel();
			decodeEnded(new AttemptOutcome.Broken(reason));
		}
	}

	private void decodeEnded(AttemptOutcome outcome) {
		cancelTimeout();
		ListedServer engine = this.decode;
		KvCache source = this.cache;
		endDecode();
		if (isDone()) {
			return;
		}
		if (!isWithdrawn(outcome)) {
			this.failures.decodeFailed(engine, source, engineLimits(), outcome);
		}
		recordBrokenAttempt(engine, outcome, this.lastEventId, this.serverEvents, this.decodeNanos);
		NextStep step = attempts().ended(outcome, hasTimeForAttempt());
		log("attempt-ended", "server", engine.name(), "outcome", outcome, "next", step, "last_event", this.lastEventId,
				"server_events", this.serverEvents, "parts", metadata().promptParts());
		context().metrics().count("attempts_failed_total", outcome.getClass().getSimpleName());
		if (step == NextStep.TRY_AGAIN) {
			this.resumed = true;
			attempt();
		}
		else if (step == NextStep.REFUSE) {
			refuse(ErrorKind.SERVERS_FULL, "no engine accepted the request",
					context().state().returnMillis(service().name()));
		}
		else {
			fail(ErrorKind.SERVER_BROKE, "the engine interrupted the stream");
		}
	}

	private void endPrefill() {
		if (this.prefillAssignment != null) {
			this.prefillAssignment.end();
			this.prefillAssignment = null;
		}
	}

	private void endDecode() {
		this.decodeCall = null;
		if (this.decodeAssignment != null) {
			this.decodeAssignment.end();
			this.decodeAssignment = null;
		}
		if (this.cache != null && !this.headSent) {
			free(this.cache);
		}
		this.cache = null;
	}

	// Releases a KV cache that no decode engine has fetched.
	private void free(KvCache unused) {
		if (!context().state().isUsable(unused.engine())) {
			// The cache expires by itself.
			log("cache-not-freed", "server", unused.engine().name(), "reason", "the server is not usable");
			return;
		}
		context().client()
			.call(unused.engine(), HttpMethod.DELETE, context().dialect().handlePath(unused.handle()))
			.onSuccess((response) -> context().state()
				.noticeReceived(unused.engine(), context().dialect().notice(response.status(), response.headers())))
			.onFailure(
					(cause) -> log("cache-not-freed", "server", unused.engine().name(), "reason", cause.getMessage()));
	}

	private void startTimeout(Runnable action) {
		startTimeout(Math.max(MIN_PREFILL_TIMEOUT_MILLIS, Math.round(this.expectedMillis * PREFILL_TIMEOUT_FACTOR)),
				action);
	}

	private void startTimeout(long millis, Runnable action) {
		cancelTimeout();
		this.timeoutTimer = context().vertx().setTimer(millis, (id) -> {
			if (!isDone()) {
				action.run();
			}
		});
	}

	private void cancelTimeout() {
		context().vertx().cancelTimer(this.timeoutTimer);
	}

	@Override
	void cancel(String reason) {
		cancelTimeout();
		context().waiting().remove(service().name(), this);
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
