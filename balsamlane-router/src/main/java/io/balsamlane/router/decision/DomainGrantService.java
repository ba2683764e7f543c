package io.balsamlane.router.decision;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.routing.Route;
import io.balsamlane.core.scheduling.CrossRegionBytes;
import io.balsamlane.core.scheduling.DomainId;
import io.balsamlane.core.scheduling.DomainMap;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.ActiveGrant;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.GrantCollection;
import io.balsamlane.schema.GrantId;
import io.balsamlane.schema.GrantRegistration;
import io.balsamlane.schema.GrantRenewal;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.PeerMessage.BodyCase;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Asks the schedulers of the domains that a request may reach, nearest first, and picks
 * engines itself when a scheduler does not answer. Keeps this router's live grants,
 * renews them and registers them with new schedulers.
 */
public final class DomainGrantService implements GrantService {

	/** Refusals after which another place may still serve the request. */
	private static final List<String> ELSEWHERE = List.of("deadline", Kinds.OVERLOADED, "no-engine", "too-large");

	/** Grants in one registration, which keeps its frame far below the limit. */
	private static final int MAX_REGISTERED = 500;

	private static final int MAX_CALLERS = 4096;

	/** Bytes of a prompt's token in a request, and of an answer's token in its event. */
	private static final long PROMPT_TOKEN_BYTES = 6;

	private static final long ANSWER_TOKEN_BYTES = 48;

	private final Vertx vertx;

	private final PeerNetwork network;

	private final OwnerCache owners;

	private final LocalGrantService fallback;

	private final String region;

	private final long answerMillis;

	private final CrossRegionBytes crossRegion = CrossRegionBytes.create(MAX_CALLERS, System.nanoTime());

	private final Map<String, LiveGrant> live = new ConcurrentHashMap<>();

	private final AtomicLong fallbacks = new AtomicLong();

	private volatile DomainMap map;

	private volatile Map<String, Long> crossRegionLimits = Map.of();

	private DomainGrantService(Vertx vertx, PeerNetwork network, LocalGrantService fallback, String region,
			long answerMillis) {
		this.vertx = vertx;
		this.network = network;
		this.owners = new OwnerCache(network);
		this.fallback = fallback;
		this.region = region;
		this.answerMillis = answerMillis;
	}

	/**
	 * Creates the service.
	 * @param vertx the event loops to use
	 * @param network the other routers
	 * @param fallback picks engines when a scheduler does not answer
	 * @param region region of this router
	 * @param answerMillis longest wait for an answer of a scheduler
	 * @return the service
	 */
	public static DomainGrantService create(Vertx vertx, PeerNetwork network, LocalGrantService fallback, String region,
			long answerMillis) {
		return new DomainGrantService(vertx, network, fallback, region, answerMillis);
	}

	/**
	 * Starts renewing grants.
	 * @param renewMillis time between two renewals
	 */
	public void start(long renewMillis) {
		this.network.register(BodyCase.GRANT_COLLECTION,
				(from, message) -> Future.succeededFuture(collection(message.getGrantCollection())));
		this.network.addMemberListener((members) -> renew());
		this.vertx.setPeriodic(renewMillis, (id) -> renew());
	}

	/**
	 * Replaces the domains and the callers' limits.
	 * @param next the engines by domain
	 * @param callers callers with their limits
	 */
	public void setTopology(DomainMap next, List<Caller> callers) {
		this.map = next;
		this.crossRegionLimits = callers.stream()
			.filter((caller) -> caller.getCrossRegionBytesPerHour() > 0)
			.collect(Collectors.toMap(Caller::getName, Caller::getCrossRegionBytesPerHour, Math::min));
	}

	/**
	 * Returns the bytes granted to other regions.
	 * @return the bytes since the start
	 */
	public long crossRegionBytes() {
		return this.crossRegion.totalBytes();
	}

	/**
	 * Returns how often no scheduler answered.
	 * @return the number since the start
	 */
	public long fallbacks() {
		return this.fallbacks.get();
	}

	@Override
	public Future<GrantReply> request(GrantRequest request, Route.ToEngines route) {
		Context context = Vertx.currentContext();
		Promise<GrantReply> promise = Promise.promise();
		List<DomainId> domains = domains(route);
		Inquiry inquiry = new Inquiry(request, route, domains, System.nanoTime(),
				(context != null) ? context : this.vertx.getOrCreateContext(), promise);
		if (domains.isEmpty()) {
			decideAlone(inquiry, route);
		}
		else {
			ask(inquiry, 0);
		}
		return promise.future();
	}

	private List<DomainId> domains(Route.ToEngines route) {
		DomainMap present = this.map;
		if (present == null) {
			return List.of();
		}
		List<DomainId> decode = route.decode().stream().flatMap((server) -> domain(present, server).stream()).toList();
		return route.prefill()
			.stream()
			.flatMap((server) -> domain(present, server).stream())
			.distinct()
			.filter(decode::contains)
			.toList();
	}

	private static Optional<DomainId> domain(DomainMap present, BackendServer server) {
		return present.domain(server.name().value());
	}

	private void ask(Inquiry inquiry, int position) {
		DomainId domain = inquiry.domains().get(position);
		Optional<HostName> owner = this.owners.owner(domain);
		Route.ToEngines route = within(inquiry.route(), domain);
		int waitedMillis = (int) ((System.nanoTime() - inquiry.startedNanos()) / 1_000_000);
		int remainingMillis = inquiry.request().getFirstTokenRemainingMillis();
		GrantRequest request = inquiry.request()
			.toBuilder()
			.setModel(domain.model())
			.setPlace(domain.place().value())
			.clearPrefillPools()
			.addAllPrefillPools(pools(route.prefill()))
			.clearDecodePools()
			.addAllDecodePools(pools(route.decode()))
			.setFirstTokenRemainingMillis((remainingMillis > 0) ? Math.max(1, remainingMillis - waitedMillis) : 0)
			.setOtherPlaces(inquiry.domains().size() - position - 1)
			.build();
		if (owner.isEmpty()) {
			decideAlone(inquiry, route);
			return;
		}
		this.network.call(owner.get(), PeerMessage.newBuilder().setGrantRequest(request), this.answerMillis)
			.onSuccess((reply) -> answered(inquiry, position, route, reply));
	}

	private Route.ToEngines within(Route.ToEngines route, DomainId domain) {
		DomainMap present = this.map;
		return new Route.ToEngines(
				route.prefill()
					.stream()
					.filter((server) -> domain(present, server).filter(domain::equals).isPresent())
					.toList(),
				route.decode()
					.stream()
					.filter((server) -> domain(present, server).filter(domain::equals).isPresent())
					.toList(),
				route.selector());
	}

	private static List<String> pools(List<BackendServer> servers) {
		return servers.stream().map(BackendServer::group).distinct().toList();
	}

	private void answered(Inquiry inquiry, int position, Route.ToEngines route, PeerReply reply) {
		if (!(reply instanceof PeerReply.Answered answer) || !answer.message().hasGrantReply()
				|| answer.message().getGrantReply().getRefusalKind().equals(Kinds.NOT_OWNER)) {
			decideAlone(inquiry, route);
			return;
		}
		GrantReply decided = answer.message().getGrantReply();
		if (decided.getGranted()) {
			this.fallback.adopt(decided);
			granted(inquiry, inquiry.domains().get(position), decided);
			countBytes(inquiry, route);
		}
		else if (decided.getRefusalKind().equals(Kinds.WAITING)) {
			ask(inquiry, position);
		}
		else if (ELSEWHERE.contains(decided.getRefusalKind()) && mayAsk(inquiry, position + 1)) {
			ask(inquiry, position + 1);
		}
		else {
			complete(inquiry, decided);
		}
	}

	private boolean mayAsk(Inquiry inquiry, int position) {
		if (position >= inquiry.domains().size()) {
			return false;
		}
		Route.ToEngines route = within(inquiry.route(), inquiry.domains().get(position));
		String caller = inquiry.request().getCaller();
		long limitBytes = this.crossRegionLimits.getOrDefault(caller, 0L);
		long shareBytes = (limitBytes == 0) ? 0
				: Math.max(1, limitBytes / Math.max(1, this.network.members().members().size()));
		return !leavesRegion(route)
				|| this.crossRegion.allows(caller, bytes(inquiry.request()), shareBytes, System.nanoTime());
	}

	private boolean leavesRegion(Route.ToEngines route) {
		return route.decode().stream().anyMatch((server) -> !server.region().equals(this.region));
	}

	private void countBytes(Inquiry inquiry, Route.ToEngines route) {
		if (leavesRegion(route)) {
			this.crossRegion.count(inquiry.request().getCaller(), bytes(inquiry.request()));
		}
	}

	private static long bytes(GrantRequest request) {
		return request.getPromptTokens() * PROMPT_TOKEN_BYTES + request.getMaxTokens() * ANSWER_TOKEN_BYTES;
	}

	private void decideAlone(Inquiry inquiry, Route.ToEngines route) {
		this.fallbacks.incrementAndGet();
		GrantReply reply = this.fallback.decide(inquiry.request(), route);
		DomainMap present = this.map;
		if (reply.getGranted() && present != null) {
			present.domain(reply.getDecodeServer()).ifPresent((domain) -> granted(inquiry, domain, reply));
			countBytes(inquiry, route);
		}
		complete(inquiry, reply);
	}

	private void granted(Inquiry inquiry, DomainId domain, GrantReply reply) {
		this.live.put(key(reply.getRequestId(), reply.getAttempt()),
				new LiveGrant(domain, inquiry.request(), reply, System.nanoTime()));
		complete(inquiry, reply);
	}

	private static void complete(Inquiry inquiry, GrantReply reply) {
		inquiry.context().runOnContext((ignored) -> inquiry.promise().tryComplete(reply));
	}

	@Override
	public void update(GrantUpdate update) {
		String key = key(update.getRequestId(), update.getAttempt());
		boolean ends = update.getKind() == GrantUpdate.Kind.RELEASED || update.getKind() == GrantUpdate.Kind.FAILED;
		this.fallback.update(update);
		LiveGrant grant = ends ? this.live.remove(key) : this.live.get(key);
		if (grant != null) {
			send(grant.domain(), PeerMessage.newBuilder()
				.setGrantUpdate(
						update.toBuilder().setModel(grant.domain().model()).setPlace(grant.domain().place().value())));
		}
	}

	private Future<PeerReply> send(DomainId domain, PeerMessage.Builder message) {
		return this.owners.owner(domain)
			.map((owner) -> this.network.call(owner, message, this.answerMillis))
			.orElseGet(() -> Future.succeededFuture(new PeerReply.NotDelivered("no router is alive")));
	}

	private void renew() {
		Map<DomainId, List<LiveGrant>> byDomain = this.live.values()
			.stream()
			.collect(Collectors.groupingBy(LiveGrant::domain));
		byDomain.forEach((domain, grants) -> {
			GrantRenewal.Builder renewal = GrantRenewal.newBuilder()
				.setModel(domain.model())
				.setPlace(domain.place().value());
			grants.forEach((grant) -> renewal.addGrants(GrantId.newBuilder()
				.setRequestId(grant.reply().getRequestId())
				.setAttempt(grant.reply().getAttempt())));
			send(domain, PeerMessage.newBuilder().setGrantRenewal(renewal)).onSuccess((reply) -> {
				if (reply instanceof PeerReply.Answered answered) {
					register(domain, answered.message().getGrantRenewalReply().getUnknownList());
				}
			});
		});
	}

	private void register(DomainId domain, List<GrantId> unknown) {
		List<LiveGrant> grants = unknown.stream()
			.flatMap((id) -> Optional.ofNullable(this.live.get(key(id.getRequestId(), id.getAttempt()))).stream())
			.limit(MAX_REGISTERED)
			.toList();
		if (!grants.isEmpty()) {
			send(domain, PeerMessage.newBuilder().setGrantRegistration(registration(domain, grants)));
		}
	}

	private PeerMessage.Builder collection(GrantCollection wanted) {
		DomainId domain = new DomainId(wanted.getModel(), Place.of(wanted.getPlace()));
		return PeerMessage.newBuilder()
			.setGrantRegistration(registration(domain,
					this.live.values()
						.stream()
						.filter((grant) -> grant.domain().equals(domain))
						.limit(MAX_REGISTERED)
						.toList()));
	}

	private static GrantRegistration registration(DomainId domain, List<LiveGrant> grants) {
		long nowNanos = System.nanoTime();
		return GrantRegistration.newBuilder()
			.setModel(domain.model())
			.setPlace(domain.place().value())
			.addAllGrants(grants.stream().map((grant) -> grant.toMessage(nowNanos)).toList())
			.build();
	}

	private static String key(String requestId, int attempt) {
		return requestId + "." + attempt;
	}

	private record Inquiry(GrantRequest request, Route.ToEngines route, List<DomainId> domains, long startedNanos,
			Context context, Promise<GrantReply> promise) {
	}

	private record LiveGrant(DomainId domain, GrantRequest request, GrantReply reply, long grantedNanos) {

		ActiveGrant toMessage(long nowNanos) {
			return ActiveGrant.newBuilder()
				.setRequest(this.request.toBuilder().clearPrefixHashes())
				.setReply(this.reply)
				.setAgeMillis((int) ((nowNanos - this.grantedNanos) / 1_000_000))
				.build();
		}

	}

}
