package io.balsamlane.router.edge;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.routing.Route;
import io.balsamlane.router.records.IntentService;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.RecordState;
import io.balsamlane.schema.StoredAnswer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Routes calls of plain services; records non-repeatable ones before it dispatches them.
 */
final class ServiceCallHandler {

	private static final Set<String> HOP_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding", "te",
			"upgrade", "host", "content-length", "authorization");

	private final HttpClient client;

	private final IntentService intents;

	private final Timeline timeline;

	private final String host;

	private final int maxStoredAnswerBytes;

	private int next;

	ServiceCallHandler(Vertx vertx, IntentService intents, Timeline timeline, String host, int maxStoredAnswerBytes) {
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(500));
		this.intents = intents;
		this.timeline = timeline;
		this.host = host;
		this.maxStoredAnswerBytes = maxStoredAnswerBytes;
	}

	void handle(HttpServerRequest request, String requestId, String caller, Route.ToService route, String uri) {
		this.timeline.record(EventKind.REQUEST_ACCEPTED, requestId, 0, route.service().getName(),
				request.method() + " " + uri);
		BackendServer replica = route.replicas().get(Math.floorMod(this.next++, route.replicas().size()));
		if (repeatable(route.service().getRepeatableList(), request.method().name(), request.path())) {
			request.body()
				.compose((body) -> send(request, requestId, replica, uri, body))
				.onSuccess((answer) -> relay(request.response(), answer))
				.onFailure((cause) -> Refusal
					.withRetry(502, "server-failed", Ran.UNKNOWN, "the backend server broke the connection", 1000)
					.send(request.response()));
			return;
		}
		String key = request.getHeader("Idempotency-Key");
		if (key == null || key.isBlank()) {
			Refusal
				.of(400, "idempotency-key-missing", Ran.NO, "this call may run only once and needs an Idempotency-Key",
						"Send a key that is unique for this call, and the same key when you repeat it")
				.send(request.response());
			return;
		}
		request.body().onSuccess((body) -> {
			CallRecord intent = intent(request, caller, route.service().getName(), key, uri, body);
			this.intents.create(intent)
				.onSuccess((reply) -> decided(request, requestId, replica, uri, body, intent, reply));
		});
	}

	static boolean repeatable(List<String> patterns, String method, String path) {
		String call = method + " " + path;
		return patterns.stream().anyMatch((pattern) -> pattern.equals(method) || call.startsWith(pattern));
	}

	private CallRecord intent(HttpServerRequest request, String caller, String service, String key, String uri,
			Buffer body) {
		byte[] keyHash = DigestUtils.sha256((caller + "\n" + service + "\n" + key).getBytes(StandardCharsets.UTF_8));
		byte[] callHash = DigestUtils
			.sha256(Buffer.buffer(request.method() + " " + uri + "\n").appendBuffer(body).getBytes());
		return CallRecord.newBuilder()
			.setKeyHash(ByteString.copyFrom(keyHash))
			.setCallHash(ByteString.copyFrom(callHash))
			.setDispatcherHost(this.host)
			.setDispatchNonce(ThreadLocalRandom.current().nextLong())
			.setState(RecordState.INTENT)
			.setChangedEpochMillis(System.currentTimeMillis())
			.build();
	}

	private void decided(HttpServerRequest request, String requestId, BackendServer replica, String uri, Buffer body,
			CallRecord intent, IntentReply reply) {
		HttpServerResponse response = request.response();
		switch (reply.getResult()) {
			case CREATED -> {
				this.timeline.record(EventKind.CALL_INTENT_RECORDED, requestId, 1, "", "");
				dispatch(request, requestId, replica, uri, body, reply.getRecord());
			}
			case EXISTS -> replay(response, intent, reply.getRecord());
			default -> Refusal
				.withRetry(503, "store-unavailable", reply.getOtherRunPossible() ? Ran.UNKNOWN : Ran.NO,
						"the call cannot be recorded: " + reply.getReason(), Math.max(1, reply.getRetryAfterMillis()))
				.send(response);
		}
	}

	private void replay(HttpServerResponse response, CallRecord intent, CallRecord record) {
		if (!record.getCallHash().equals(intent.getCallHash())) {
			Refusal
				.of(422, "idempotency-key-reused", Ran.NO, "the key was used for another call",
						"Use a new key for a new call")
				.send(response);
			return;
		}
		if (record.getState() != RecordState.COMPLETED || record.getAnswer().getBodyOmitted()) {
			Ran ran = (record.getState() == RecordState.COMPLETED) ? Ran.YES : Ran.UNKNOWN;
			Refusal.withRetry(409, "outcome-unknown", ran, "an earlier copy of this call may have run", 1000)
				.send(response);
			return;
		}
		StoredAnswer answer = record.getAnswer();
		answer.getHeadersMap().forEach(response::putHeader);
		response.putHeader("Idempotency-Replayed", "true")
			.setStatusCode(answer.getStatus())
			.end(Buffer.buffer(answer.getBody().toByteArray()));
	}

	private void dispatch(HttpServerRequest request, String requestId, BackendServer replica, String uri, Buffer body,
			CallRecord intent) {
		this.timeline.record(EventKind.CALL_DISPATCHED, requestId, 1, replica.name().value(), "");
		send(request, requestId, replica, uri, body).onSuccess((answer) -> {
			this.intents.report(completed(intent, answer));
			this.timeline.record(EventKind.CALL_COMPLETED, requestId, 1, replica.name().value(),
					"status " + answer.status());
			relay(request.response(), answer);
		}).onFailure((cause) -> {
			this.intents.report(intent.toBuilder().setState(RecordState.UNKNOWN).build());
			Refusal
				.of(502, "outcome-unknown", Ran.UNKNOWN, "the backend server broke the connection",
						"Ask the service whether the call ran before you send it again")
				.send(request.response());
		});
	}

	private CallRecord completed(CallRecord intent, Answer answer) {
		boolean omitted = answer.body().length() > this.maxStoredAnswerBytes;
		StoredAnswer stored = StoredAnswer.newBuilder()
			.setStatus(answer.status())
			.putAllHeaders(answer.headers())
			.setBody(omitted ? ByteString.EMPTY : ByteString.copyFrom(answer.body().getBytes()))
			.setBodyOmitted(omitted)
			.build();
		return intent.toBuilder()
			.setState(RecordState.COMPLETED)
			.setAnswer(stored)
			.setChangedEpochMillis(System.currentTimeMillis())
			.build();
	}

	private Future<Answer> send(HttpServerRequest request, String requestId, BackendServer replica, String uri,
			Buffer body) {
		RequestOptions options = new RequestOptions().setMethod(request.method())
			.setHost(replica.endpoint().address())
			.setPort(replica.endpoint().port())
			.setURI(uri)
			.putHeader("X-Request-Id", requestId);
		request.headers()
			.entries()
			.stream()
			.filter((header) -> !HOP_HEADERS.contains(header.getKey().toLowerCase(java.util.Locale.ROOT)))
			.forEach((header) -> options.addHeader(header.getKey(), header.getValue()));
		return this.client.request(options)
			.compose((outgoing) -> outgoing.send(body))
			.compose((response) -> response.body().map((received) -> Answer.of(response, received)));
	}

	private static void relay(HttpServerResponse response, Answer answer) {
		if (!response.closed()) {
			answer.headers().forEach(response::putHeader);
			response.setStatusCode(answer.status()).end(answer.body());
		}
	}

	private record Answer(int status, Map<String, String> headers, Buffer body) {

		static Answer of(HttpClientResponse response, Buffer body) {
			Map<String, String> headers = response.headers()
				.entries()
				.stream()
				.filter((header) -> !HOP_HEADERS.contains(header.getKey().toLowerCase(java.util.Locale.ROOT)))
				.collect(Collectors.toMap((header) -> header.getKey().toLowerCase(java.util.Locale.ROOT),
						Map.Entry::getValue, (first, second) -> first + ", " + second));
			return new Answer(response.statusCode(), headers, body);
		}

	}

}
