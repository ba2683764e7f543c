package io.balsamlane.router.quota;

import java.util.Iterator;
import java.util.Optional;
import java.util.stream.Collectors;

import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.quota.FleetSize;
import io.balsamlane.core.quota.LocalShares;
import io.balsamlane.core.quota.QuotaOwner;
import io.balsamlane.core.quota.QuotaOwners;
import io.balsamlane.core.quota.QuotaQuestion;
import io.balsamlane.core.quota.QuotaTolerance;
import io.balsamlane.core.quota.SilentRouters;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.Acknowledgement;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.QuotaReply;
import io.balsamlane.schema.QuotaRequest;
import io.balsamlane.schema.QuotaReturn;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides whether requests are within the quotas of their customers. The owner of a quota
 * decides for all routers; while it does not answer, its deputies do, and while none of
 * them answers, each router uses a share of its own. All methods run on the event loop.
 */
public final class QuotaService {

	/**
	 * Two network transfers of 20 ms between regions, and time for the owner's other
	 * work.
	 */
	private static final long OWNER_TIMEOUT_MILLIS = 150;

	/** Shorter, because the caller has already waited for the owner. */
	private static final long DEPUTY_TIMEOUT_MILLIS = 100;

	/** A reply within this time shows whether tokens have to be returned. */
	private static final long CALL_TIMEOUT_MILLIS = 2000;

	/** Callers that were refused together should not come back together. */
	private static final double RETRY_SPREAD = 0.1;

	/**
	 * Number of routers assumed until the members are known. If it is too low, routers
	 * that start at once exceed a quota together.
	 */
	private static final int ASSUMED_FLEET_SIZE = 100;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final PeerNetwork peers;

	private final UniformRandomProvider random;

	private final QuotaListener listener;

	private final RefusedCustomers refused;

	private final FleetSize fleet;

	private final QuotaOwner owner;

	private final LocalShares shares;

	private final SilentRouters silent = SilentRouters.create();

	private QuotaOwners owners;

	private long viewChangedNanos = System.nanoTime();

	private long sequence;

	private QuotaService(Vertx vertx, PeerNetwork peers, QuotaTolerance tolerance, boolean expectsPeers,
			UniformRandomProvider random, QuotaListener listener) {
		this.vertx = vertx;
		this.peers = peers;
		this.random = random;
		this.listener = listener;
		this.refused = new RefusedCustomers(vertx, listener);
		this.fleet = FleetSize.create(expectsPeers ? ASSUMED_FLEET_SIZE : 1, System.nanoTime());
		this.owner = QuotaOwner.create(tolerance, this.fleet, this::owns);
		this.shares = LocalShares.create(tolerance, this.fleet, random);
		this.owners = QuotaOwners.of(peers.members());
		// A restarted router must not return the tokens of an earlier process.
		this.sequence = random.nextLong();
	}

	/**
	 * Create a service.
	 * @param vertx the event loop
	 * @param peers the other routers
	 * @param tolerance tokens by which customers may exceed their quotas
	 * @param expectsPeers whether this router belongs to a fleet whose size it does not
	 * know at its start
	 * @param random source of the spread of retry times
	 * @param listener receives the decisions
	 * @return the service, not started
	 */
	public static QuotaService create(Vertx vertx, PeerNetwork peers, QuotaTolerance tolerance, boolean expectsPeers,
			UniformRandomProvider random, QuotaListener listener) {
		return new QuotaService(vertx, peers, tolerance, expectsPeers, random, listener);
	}

	/**
	 * Start to decide for other routers.
	 */
	public void start() {
		this.peers.register(PeerMessage.BodyCase.QUOTA_REQUEST, (from, message) -> Future.succeededFuture(
				PeerMessage.newBuilder().setQuotaReply(reply(HostName.of(from.getHost()), message.getQuotaRequest()))));
		this.peers.register(PeerMessage.BodyCase.QUOTA_RETURN, (from, message) -> {
			this.owner.putBack(HostName.of(from.getHost()), message.getQuotaReturn().getSequence(), System.nanoTime());
			return Future
				.succeededFuture(PeerMessage.newBuilder().setAcknowledgement(Acknowledgement.getDefaultInstance()));
		});
		this.peers.addMemberListener((view) -> membersChanged());
		membersChanged();
	}

	/**
	 * Stop the timers. Questions of other routers are still answered.
	 */
	public void stop() {
		this.refused.stop();
	}

	private void membersChanged() {
		long nowNanos = System.nanoTime();
		MemberView view = this.peers.members();
		this.owners = QuotaOwners.of(view);
		this.viewChangedNanos = nowNanos;
		this.fleet.update(view.members().size(), nowNanos);
		this.silent.retain(view.members().stream().map(Member::host).collect(Collectors.toSet()));
		this.owner.membersChanged(nowNanos);
	}

	// After a pause, this router may have been replaced as the owner without knowing it.
	// Its bucket holds at most the burst then, and only few routers still ask it.
	private boolean owns(CustomerId customer) {
		return this.owners.owns(customer, self());
	}

	private HostName self() {
		return this.peers.members().self().host();
	}

	// A router that is not the owner in its own view decides as well: its answer is as
	// good as that of a deputy, and a further call would delay the request.
	private QuotaReply reply(HostName from, QuotaRequest request) {
		long nowNanos = System.nanoTime();
		QuotaQuestion question = new QuotaQuestion(CustomerId.of(request.getCustomer()),
				new CustomerQuota(request.getTokensPerSecond(), request.getBurstTokens(), 0),
				request.getConfigurationVersion(), request.getTokens());
		this.fleet.recordReport(request.getFleetSize(), nowNanos);
		long waitNanos = this.owner.decide(from, request.getSequence(), question, nowNanos);
		return QuotaReply.newBuilder()
			.setGranted(waitNanos == 0)
			.setRetryAfterMillis((int) ((waitNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI))
			.build();
	}

	/**
	 * Decide whether a request is within the quota of its customer.
	 * @param customer the customer
	 * @param quota quota of the customer
	 * @param version version of the configuration that contains the quota
	 * @param tokens number of tokens that the request costs
	 * @return the decision; the future never fails
	 */
	public Future<QuotaDecision> acquire(CustomerId customer, CustomerQuota quota, long version, long tokens) {
		if (!quota.limited() || tokens <= 0) {
			return Future.succeededFuture(new QuotaDecision.Granted(QuotaGrant.FREE));
		}
		Promise<QuotaDecision> decision = Promise.promise();
		ask(new PendingQuestion(new QuotaQuestion(customer, quota, version, tokens), ++this.sequence,
				this.owners.candidates(customer).iterator(), decision), OWNER_TIMEOUT_MILLIS);
		return decision.future();
	}

	private void ask(PendingQuestion pending, long timeoutMillis) {
		while (pending.candidates.hasNext()) {
			HostName candidate = pending.candidates.next();
			long nowNanos = System.nanoTime();
			if (candidate.equals(self())) {
				long waitNanos = this.owner.decide(candidate, pending.sequence, pending.question, nowNanos);
				complete(pending, Optional.of(candidate), waitNanos / NANOS_PER_MILLI, waitNanos == 0);
				return;
			}
			if (this.silent.mayAsk(candidate, nowNanos)) {
				call(pending, candidate, timeoutMillis, nowNanos);
				return;
			}
		}
		long waitNanos = this.shares.decide(pending.question, System.nanoTime());
		complete(pending, Optional.empty(), waitNanos / NANOS_PER_MILLI, waitNanos == 0);
	}

	private void call(PendingQuestion pending, HostName candidate, long timeoutMillis, long nowNanos) {
		QuotaQuestion question = pending.question;
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setQuotaRequest(QuotaRequest.newBuilder()
				.setCustomer(question.customer().value())
				.setTokens(question.tokens())
				.setTokensPerSecond(question.quota().tokensPerSecond())
				.setBurstTokens(question.quota().burstTokens())
				.setConfigurationVersion(question.version())
				.setSequence(pending.sequence)
				.setFleetSize(this.fleet.seen(nowNanos)));
		boolean[] waiting = { true };
		long timer = this.vertx.setTimer(timeoutMillis, (id) -> {
			waiting[0] = false;
			this.silent.recordSilence(candidate, System.nanoTime());
			ask(pending, DEPUTY_TIMEOUT_MILLIS);
		});
		this.peers.call(candidate, message, CALL_TIMEOUT_MILLIS).onSuccess((reply) -> {
			Optional<QuotaReply> answer = answer(reply);
			if (answer.isPresent()) {
				this.silent.recordAnswer(candidate);
			}
			if (!waiting[0]) {
				// Another router has decided. Without an answer, the tokens may have been
				// taken; returning what was not granted has no effect.
				if (answer.map(QuotaReply::getGranted).orElse(!(reply instanceof PeerReply.NotDelivered))) {
					returnTokens(candidate, pending.sequence);
				}
				return;
			}
			this.vertx.cancelTimer(timer);
			if (answer.isPresent()) {
				complete(pending, Optional.of(candidate), answer.get().getRetryAfterMillis(),
						answer.get().getGranted());
				return;
			}
			this.silent.recordSilence(candidate, System.nanoTime());
			if (reply instanceof PeerReply.Lost) {
				returnTokens(candidate, pending.sequence);
			}
			ask(pending, DEPUTY_TIMEOUT_MILLIS);
		});
	}

	private static Optional<QuotaReply> answer(PeerReply reply) {
		return (reply instanceof PeerReply.Answered answered && answered.message().hasQuotaReply())
				? Optional.of(answered.message().getQuotaReply()) : Optional.empty();
	}

	private void complete(PendingQuestion pending, Optional<HostName> decidedBy, long retryAfterMillis,
			boolean granted) {
		this.listener.decided((granted ? "granted" : "refused") + (decidedBy.isPresent() ? "" : "-locally"));
		if (granted) {
			pending.decision.complete(new QuotaDecision.Granted(
					new QuotaGrant(Optional.of(pending.question), decidedBy, pending.sequence)));
			return;
		}
		this.refused.record(pending.question.customer(), decidedBy,
				(System.nanoTime() - this.viewChangedNanos) / NANOS_PER_MILLI);
		double spread = 1 + RETRY_SPREAD * this.random.nextDouble();
		pending.decision.complete(new QuotaDecision.Exceeded((int) Math.ceil((retryAfterMillis + 1) * spread)));
	}

	/**
	 * Return the tokens of a request that was not sent to a server.
	 * @param grant the granted tokens
	 */
	public void giveBack(QuotaGrant grant) {
		if (grant.question().isEmpty()) {
			return;
		}
		this.listener.decided("returned");
		if (grant.decidedBy().isPresent()) {
			returnTokens(grant.decidedBy().get(), grant.sequence());
		}
		else {
			this.shares.putBack(grant.question().get(), System.nanoTime());
		}
	}

	// A lost message is not repeated: the bucket refills anyway, and a repeated message
	// would add load when routers are unreachable.
	private void returnTokens(HostName host, long returned) {
		if (host.equals(self())) {
			this.owner.putBack(host, returned, System.nanoTime());
		}
		else {
			this.peers.call(host,
					PeerMessage.newBuilder().setQuotaReturn(QuotaReturn.newBuilder().setSequence(returned)),
					CALL_TIMEOUT_MILLIS);
		}
	}

	private record PendingQuestion(QuotaQuestion question, long sequence, Iterator<HostName> candidates,
			Promise<QuotaDecision> decision) {
	}

}
