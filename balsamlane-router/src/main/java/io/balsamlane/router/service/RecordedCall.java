package io.balsamlane.router.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import com.google.protobuf.ByteString;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.router.edge.Ran;
import io.balsamlane.router.edge.Refusal;
import io.balsamlane.router.records.IntentService;
import io.balsamlane.router.service.ServiceAttempt.Result;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.RecordState;
import io.balsamlane.schema.StoredAnswer;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Handles a non-repeatable call. The call is dispatched only after its intent has been
 * recorded, and is sent to at most one replica.
 * <p>
 * The call hash covers the method, the path, the query and the buffered part of the body,
 * and for a longer body also its Content-Length. Two long bodies of the same length that
 * differ only beyond the buffered part are treated as the same call, because the rest of
 * the body is streamed only after the intent has been recorded.
 */
final class RecordedCall {

	private static final int RETRY_AFTER_MILLIS = 1000;

	private final ReplicaTable replicas;

	private final ReplicaClient client;

	private final IntentService intents;

	private final Timeline timeline;

	private final ServiceCall call;

	private final int maxAnswerBytes;

	private final long dispatchWindowNanos;

	private final long startNanos = System.nanoTime();

	private final Set<BackendServer> tried = new HashSet<>();

	RecordedCall(ReplicaTable replicas, ReplicaClient client, IntentService intents, Timeline timeline,
			ServiceCall call, int maxAnswerBytes, long dispatchWindowNanos) {
		this.replicas = replicas;
		this.client = client;
		this.intents = intents;
		this.timeline = timeline;
		this.call = call;
		this.maxAnswerBytes = maxAnswerBytes;
		this.dispatchWindowNanos = dispatchWindowNanos;
	}

	void start(String host, String key) {
		CallRecord intent = CallRecord.newBuilder()
			.setKeyHash(keyHash(this.call.caller(), this.call.service(), key))
			.setCallHash(callHash())
			.setDispatcherHost(host)
			.setDispatchNonce(ThreadLocalRandom.current().nextLong())
			.setState(RecordState.INTENT)
			.build();
		this.intents.create(intent).onSuccess((reply) -> handleIntentReply(intent, reply));
	}

	// Prefixes the caller and the service with their lengths, so that different
	// combinations of caller, service and key never yield the same text.
	private static ByteString keyHash(String caller, String service, String key) {
		String text = caller.length() + ":" + caller + service.length() + ":" + service + key;
		return ByteString.copyFrom(DigestUtils.sha256(text.getBytes(StandardCharsets.UTF_8)));
	}

	private ByteString callHash() {
		MessageDigest digest = DigestUtils.getSha256Digest();
		String requestLine = this.call.request().method() + " " + this.call.uri() + "\n";
		digest.update(requestLine.getBytes(StandardCharsets.UTF_8));
		if (this.call.body().complete()) {
			digest.update(this.call.body().buffered().getBytes());
		}
		else {
			digest.update(this.call.body().prefix().getBytes());
			String length = this.call.request().getHeader("Content-Length");
			digest.update(("\nlength " + length).getBytes(StandardCharsets.UTF_8));
		}
		return ByteString.copyFrom(digest.digest());
	}

	private void handleIntentReply(CallRecord intent, IntentReply reply) {
		if (reply.getResult() != IntentReply.Result.CREATED) {
			this.call.body().discard();
		}
		HttpServerResponse response = this.call.request().response();
		switch (reply.getResult()) {
			case CREATED -> startDispatch(reply.getRecord());
			case EXISTS -> replay(response, intent, reply.getRecord());
			default -> Refusal
				.withRetry(503, "store-unavailable", reply.getOtherRunPossible() ? Ran.UNKNOWN : Ran.NO,
						"the call cannot be recorded: " + reply.getReason(), Math.max(1, reply.getRetryAfterMillis()))
				.send(response);
		}
	}

	private static void replay(HttpServerResponse response, CallRecord intent, CallRecord record) {
		if (!record.getCallHash().equals(intent.getCallHash())) {
			Refusal
				.of(422, "idempotency-key-reused", Ran.NO, "the idempotency key was already used for a different call",
						"Use a new key for a new call")
				.send(response);
			return;
		}
		if (record.getState() != RecordState.COMPLETED || record.getAnswer().getBodyOmitted()) {
			Ran ran = (record.getState() == RecordState.COMPLETED) ? Ran.YES : Ran.UNKNOWN;
			Refusal
				.withRetry(409, "outcome-unknown", ran,
						(ran == Ran.YES) ? "an earlier copy of this call ran, but its answer was too large to be stored"
								: "an earlier copy of this call may have run",
						RETRY_AFTER_MILLIS)
				.send(response);
			return;
		}
		if (!response.closed()) {
			StoredAnswer answer = record.getAnswer();
			answer.getHeadersMap().forEach(response::putHeader);
			response.putHeader("Idempotency-Replayed", "true")
				.setStatusCode(answer.getStatus())
				.end(Buffer.buffer(answer.getBody().toByteArray()));
		}
	}

	private void startDispatch(CallRecord record) {
		this.timeline.record(EventKind.CALL_INTENT_RECORDED, this.call.requestId(), 1, "", "");
		dispatch(record);
	}

	private void dispatch(CallRecord record) {
		if (System.nanoTime() - this.startNanos >= this.dispatchWindowNanos) {
			refuseNotRun(record, "deadline-exceeded", "the time limit for dispatching the call has expired");
			return;
		}
		if (this.call.request().response().closed()) {
			refuseNotRun(record, "caller-gone", "the caller closed the connection");
			return;
		}
		Optional<ReplicaTable.Reservation> reservation = this.replicas.choose(this.call.route(), this.tried, false);
		if (reservation.isEmpty()) {
			refuseNotRun(record, "no-replica", "no replica of " + this.call.service() + " accepts new calls");
			return;
		}
		BackendServer server = reservation.get().server();
		this.tried.add(server);
		this.timeline.record(EventKind.CALL_DISPATCHED, this.call.requestId(), this.tried.size(), server.name().value(),
				"");
		new ServiceAttempt(this.replicas, this.client, reservation.get(),
				(result) -> handleResult(record, reservation.get(), result))
			.start(this.call.request(), this.call.requestId(), this.call.uri(), this.call.body());
	}

	private void handleResult(CallRecord record, ReplicaTable.Reservation reservation, Result result) {
		if (result instanceof Result.Answered answered) {
			ResponseRelay.relay(answered.response(), this.call.request().response(), this.maxAnswerBytes)
				.onSuccess((stored) -> recordCompletion(record, reservation, stored))
				.onFailure((cause) -> {
					this.replicas.recordFailure(reservation);
					this.intents.report(record.toBuilder().setState(RecordState.UNKNOWN).build());
				});
		}
		else if (result instanceof Result.Leaving) {
			refuseNotRun(record, "server-leaving", "the replica is leaving and refused the call");
		}
		else if (result instanceof Result.Failed failed && !failed.sent()) {
			// Without a connection no byte of the call was sent, so another replica may
			// run it.
			dispatch(record);
		}
		else {
			this.intents.report(record.toBuilder().setState(RecordState.UNKNOWN).build());
			Refusal
				.of(502, "outcome-unknown", Ran.UNKNOWN,
						"the connection to the backend server failed before it answered",
						"Ask the service whether the call ran before you send it again")
				.send(this.call.request().response());
		}
	}

	private void recordCompletion(CallRecord record, ReplicaTable.Reservation reservation, StoredAnswer stored) {
		this.replicas.recordSuccess(reservation);
		this.intents.report(record.toBuilder().setState(RecordState.COMPLETED).setAnswer(stored).build());
		this.timeline.record(EventKind.CALL_COMPLETED, this.call.requestId(), this.tried.size(),
				reservation.server().name().value(), "status " + stored.getStatus());
	}

	private void refuseNotRun(CallRecord record, String kind, String detail) {
		this.call.body().discard();
		this.intents.report(record.toBuilder().setState(RecordState.NOT_RUN).build());
		Refusal.withRetry(503, kind, Ran.NO, detail, RETRY_AFTER_MILLIS).send(this.call.request().response());
	}

}
