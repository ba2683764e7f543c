package io.balsamlane.router.records;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.records.DispatchGate;
import io.balsamlane.core.records.DispatchGate.Decision;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.IntentRequest;
import io.balsamlane.schema.OutcomeReport;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.RecordSettings;
import io.balsamlane.schema.RecordState;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * {@link IntentService} that requests permission to dispatch a call from the router that
 * owns the call's shard, and repeats the report of an outcome until it is stored.
 */
public final class FleetIntentService implements IntentService {

	private static final Logger logger = System.getLogger(FleetIntentService.class.getName());

	private static final int INTENT_RETRY_PAUSE_MILLIS = 100;

	private static final int REPORT_RETRY_PAUSE_MILLIS = 500;

	private static final int REPORT_TIMEOUT_MILLIS = 6000;

	/**
	 * Limits reporting to ten minutes of pauses; a call whose outcome is not stored by
	 * then remains in an unknown state.
	 */
	private static final int MAX_REPORT_ATTEMPTS = 1200;

	private static final int MAX_PENDING_REPORTS = 20_000;

	private static final int REPLY_MARGIN_MILLIS = 1000;

	private final Vertx vertx;

	private final PeerNetwork network;

	private final RecordSettings settings;

	private final AtomicInteger pendingReports = new AtomicInteger();

	private FleetIntentService(Vertx vertx, PeerNetwork network, RecordSettings settings) {
		this.vertx = vertx;
		this.network = network;
		this.settings = settings;
	}

	/**
	 * Create the service.
	 * @param vertx the Vert.x instance that supplies event loops and timers
	 * @param network the network of the routers
	 * @param settings the number of shards and the time limits
	 * @return the service
	 */
	public static FleetIntentService create(Vertx vertx, PeerNetwork network, RecordSettings settings) {
		return new FleetIntentService(vertx, network, settings);
	}

	/**
	 * Return the number of outcomes that are not stored yet.
	 * @return the number of outcomes
	 */
	public int pendingReports() {
		return this.pendingReports.get();
	}

	@Override
	public Future<IntentReply> create(CallRecord intent) {
		CallRecord own = intent.toBuilder()
			.setDispatcherIncarnation(this.network.members().self().incarnation())
			.build();
		DispatchRequest dispatch = new DispatchRequest(own, this.vertx.getOrCreateContext());
		dispatch.requestIntent();
		return dispatch.promise.future();
	}

	@Override
	public Future<Boolean> report(CallRecord outcome) {
		if (this.pendingReports.incrementAndGet() > MAX_PENDING_REPORTS) {
			this.pendingReports.decrementAndGet();
			logger.log(Level.WARNING,
					"Limit of unstored outcomes reached; discarded the outcome of a call, which remains unknown");
			return Future.succeededFuture(false);
		}
		Promise<Boolean> promise = Promise.promise();
		report(outcome, MAX_REPORT_ATTEMPTS, promise);
		return promise.future().onComplete((done) -> this.pendingReports.decrementAndGet());
	}

	private void report(CallRecord outcome, int attemptsLeft, Promise<Boolean> promise) {
		if (attemptsLeft == 0) {
			promise.complete(false);
			return;
		}
		int shard = shard(outcome);
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setOutcomeReport(OutcomeReport.newBuilder().setShard(shard).setRecord(outcome));
		call(shard, message, REPORT_TIMEOUT_MILLIS).onSuccess((reply) -> {
			boolean stored = reply instanceof PeerReply.Answered answered
					&& answered.message().getIntentReply().getResult() == IntentReply.Result.EXISTS;
			if (stored) {
				promise.complete(true);
			}
			else {
				this.vertx.setTimer(REPORT_RETRY_PAUSE_MILLIS, (id) -> report(outcome, attemptsLeft - 1, promise));
			}
		});
	}

	private Future<PeerReply> call(int shard, PeerMessage.Builder message, long timeoutMillis) {
		Optional<Member> owner = this.network.members().owner(RecordWriterService.shardKey(shard));
		return owner.map((member) -> this.network.call(member.host(), message, timeoutMillis))
			.orElseGet(() -> Future.succeededFuture(new PeerReply.NotDelivered("no router is alive")));
	}

	private int shard(CallRecord record) {
		return Math.floorMod(record.getKeyHash().asReadOnlyByteBuffer().getInt(), this.settings.getShards());
	}

	/**
	 * Request to dispatch one copy of a call. All its steps run on one event loop.
	 */
	private final class DispatchRequest {

		private final CallRecord intent;

		private final Context context;

		private final long startNanos = System.nanoTime();

		private final DispatchGate gate;

		private final Promise<IntentReply> promise = Promise.promise();

		DispatchRequest(CallRecord intent, Context context) {
			this.intent = intent;
			this.context = context;
			long windowMillis = Math.min(FleetIntentService.this.settings.getDecisionTimeoutMillis(),
					FleetIntentService.this.settings.getRetentionSeconds() * 500L);
			this.gate = DispatchGate.create(this.startNanos, windowMillis * 1_000_000);
		}

		void requestIntent() {
			int shard = shard(this.intent);
			long elapsedMillis = (System.nanoTime() - this.startNanos) / 1_000_000;
			long remainingMillis = Math.max(1,
					FleetIntentService.this.settings.getDecisionTimeoutMillis() - elapsedMillis);
			long timeoutMillis = Math.min(remainingMillis,
					FleetIntentService.this.settings.getOutcomeWaitMillis() + REPLY_MARGIN_MILLIS);
			IntentRequest.Builder request = IntentRequest.newBuilder()
				.setShard(shard)
				.setRecord(this.intent)
				.setRemainingMillis((int) timeoutMillis);
			call(shard, PeerMessage.newBuilder().setIntentRequest(request), timeoutMillis)
				.onSuccess((reply) -> this.context.runOnContext((v) -> receive(reply)));
		}

		private void receive(PeerReply reply) {
			IntentReply answer = (reply instanceof PeerReply.Answered answered) ? answered.message().getIntentReply()
					: IntentReply.getDefaultInstance();
			boolean usable = answer.getResult() != IntentReply.Result.RESULT_UNSPECIFIED;
			Decision decision = usable ? this.gate.decide(answer, System.nanoTime())
					: this.gate.handleNoReply(!(reply instanceof PeerReply.NotDelivered), System.nanoTime());
			if (decision instanceof Decision.Retry) {
				FleetIntentService.this.vertx.setTimer(INTENT_RETRY_PAUSE_MILLIS, (id) -> requestIntent());
			}
			else if (decision instanceof Decision.Dispatch) {
				this.promise.complete(answer);
			}
			else if (decision instanceof Decision.Replay replay) {
				reportNotRun(replay.report());
				this.promise.complete(answer);
			}
			else if (decision instanceof Decision.NotRun notRun) {
				reportNotRun(notRun.report());
				this.promise.complete(IntentReply.newBuilder()
					.setResult(IntentReply.Result.REFUSED)
					.setReason(notRun.reason())
					.setOtherRunPossible(notRun.otherRunPossible())
					.setRetryAfterMillis(Math.max(REPLY_MARGIN_MILLIS, answer.getRetryAfterMillis()))
					.build());
			}
		}

		private void reportNotRun(boolean required) {
			if (required) {
				CallRecord notRun = this.intent.toBuilder().setState(RecordState.NOT_RUN).build();
				report(notRun).onSuccess((stored) -> reportAfterLateRequests(notRun));
			}
		}

		// Repeats the report, because an intent request that was delayed in the network
		// can create the intent after the first report.
		private void reportAfterLateRequests(CallRecord notRun) {
			FleetIntentService.this.vertx.setTimer(FleetIntentService.this.settings.getDecisionTimeoutMillis(),
					(id) -> report(notRun));
		}

		private Future<Boolean> report(CallRecord outcome) {
			return FleetIntentService.this.report(outcome);
		}

	}

}
