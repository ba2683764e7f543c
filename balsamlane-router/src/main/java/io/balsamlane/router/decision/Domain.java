package io.balsamlane.router.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.balsamlane.core.scheduling.DomainId;
import io.balsamlane.core.scheduling.Scheduler;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.vertx.core.Promise;

/**
 * A domain that this router owns: its scheduler and the callers that wait for its
 * replies. Used by the decision thread only.
 */
final class Domain {

	final DomainId id;

	final Scheduler scheduler;

	/** Requests that arrived before the live grants were collected. */
	final List<Deferred> deferred = new ArrayList<>();

	private final Map<String, Pending> pending = new HashMap<>();

	int collecting;

	long collectUntilNanos;

	Domain(DomainId id, Scheduler scheduler) {
		this.id = id;
		this.scheduler = scheduler;
	}

	boolean collected(long nowNanos) {
		return this.collecting == 0 || nowNanos - this.collectUntilNanos >= 0;
	}

	void await(GrantRequest request, Promise<GrantReply> promise, long answerByNanos) {
		String key = request.getRequestId() + "." + request.getAttempt();
		Pending replaced = this.pending.put(key, new Pending(request, promise, answerByNanos));
		if (replaced != null) {
			replaced.promise().tryComplete(refusal(request, Kinds.WAITING));
		}
	}

	void deliver(List<GrantReply> replies) {
		for (GrantReply reply : replies) {
			Pending waiting = this.pending.remove(reply.getRequestId() + "." + reply.getAttempt());
			if (waiting != null) {
				waiting.promise().tryComplete(reply);
			}
		}
	}

	/**
	 * Answers requests that wait for long, so that their routers know that this scheduler
	 * lives; they ask again.
	 * @param nowNanos present time
	 */
	void answerWaiting(long nowNanos) {
		this.pending.values().removeIf((waiting) -> {
			boolean due = nowNanos - waiting.answerByNanos() >= 0;
			if (due) {
				waiting.promise().tryComplete(refusal(waiting.request(), Kinds.WAITING));
			}
			return due;
		});
	}

	void close() {
		this.pending.values()
			.forEach((waiting) -> waiting.promise().tryComplete(refusal(waiting.request(), Kinds.NOT_OWNER)));
		this.deferred.forEach((waiting) -> waiting.promise().tryComplete(refusal(waiting.request(), Kinds.NOT_OWNER)));
	}

	static GrantReply refusal(GrantRequest request, String kind) {
		return GrantReply.newBuilder()
			.setRequestId(request.getRequestId())
			.setAttempt(request.getAttempt())
			.setRefusalKind(kind)
			.setReason("scheduler: " + kind)
			.setRetryAfterMillis(Kinds.RETRY_MILLIS)
			.build();
	}

	private record Pending(GrantRequest request, Promise<GrantReply> promise, long answerByNanos) {
	}

	/**
	 * A request that waits for the collection of live grants.
	 *
	 * @param request the request
	 * @param promise receives the reply
	 * @param arrivedNanos time of its arrival
	 */
	record Deferred(GrantRequest request, Promise<GrantReply> promise, long arrivedNanos) {
	}

}
