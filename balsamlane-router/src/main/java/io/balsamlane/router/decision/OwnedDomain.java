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
 * Scheduling domain that this router owns, with its scheduler and the requests that wait
 * for a reply. Confined to the decision thread.
 */
final class OwnedDomain {

	final DomainId id;

	final Scheduler scheduler;

	/** Requests that arrived before the collection of live grants was complete. */
	final List<Deferred> deferred = new ArrayList<>();

	private final Map<String, Pending> pending = new HashMap<>();

	int awaitedCollections;

	long collectionDeadlineNanos;

	OwnedDomain(DomainId id, Scheduler scheduler) {
		this.id = id;
		this.scheduler = scheduler;
	}

	boolean collectionEnded(long nowNanos) {
		return this.awaitedCollections == 0 || nowNanos - this.collectionDeadlineNanos >= 0;
	}

	void addPending(GrantRequest request, Promise<GrantReply> promise, long replyDeadlineNanos) {
		String key = request.getRequestId() + "." + request.getAttempt();
		Pending replaced = this.pending.put(key, new Pending(request, promise, replyDeadlineNanos));
		if (replaced != null) {
			replaced.promise().tryComplete(refusal(request, RefusalKinds.WAITING));
		}
	}

	void completeReplies(List<GrantReply> replies) {
		for (GrantReply reply : replies) {
			Pending waiting = this.pending.remove(reply.getRequestId() + "." + reply.getAttempt());
			if (waiting != null) {
				waiting.promise().tryComplete(reply);
			}
		}
	}

	/**
	 * Reply to requests that have reached their reply deadline, so that their routers
	 * know that this scheduler is alive; the routers repeat the request.
	 * @param nowNanos current time, in nanoseconds
	 */
	void answerOverdue(long nowNanos) {
		this.pending.values().removeIf((waiting) -> {
			boolean due = nowNanos - waiting.replyDeadlineNanos() >= 0;
			if (due) {
				waiting.promise().tryComplete(refusal(waiting.request(), RefusalKinds.WAITING));
			}
			return due;
		});
	}

	void close() {
		this.pending.values()
			.forEach((waiting) -> waiting.promise().tryComplete(refusal(waiting.request(), RefusalKinds.NOT_OWNER)));
		this.deferred
			.forEach((waiting) -> waiting.promise().tryComplete(refusal(waiting.request(), RefusalKinds.NOT_OWNER)));
	}

	static GrantReply refusal(GrantRequest request, String kind) {
		return GrantReply.newBuilder()
			.setRequestId(request.getRequestId())
			.setAttempt(request.getAttempt())
			.setRefusalKind(kind)
			.setReason("scheduler: " + kind)
			.setRetryAfterMillis(RefusalKinds.RETRY_AFTER_MILLIS)
			.build();
	}

	private record Pending(GrantRequest request, Promise<GrantReply> promise, long replyDeadlineNanos) {
	}

	/**
	 * Request that waits for the collection of live grants.
	 *
	 * @param request the request
	 * @param promise completed with the reply
	 * @param arrivedNanos time of arrival, in nanoseconds
	 */
	record Deferred(GrantRequest request, Promise<GrantReply> promise, long arrivedNanos) {
	}

}
