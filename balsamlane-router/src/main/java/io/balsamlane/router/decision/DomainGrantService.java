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
 * Requests grants from the schedulers of the domains that a request may reach, nearest
 * first, and selects engines locally when a scheduler does not reply. Tracks the live
 * grants of this router, renews them and registers them with new schedulers.
 */
public final class DomainGrantService implements GrantService {

	/** Refusals after which another data centre may still serve the request. */
	private static final List<String> RETRY_ELSEWHERE_KINDS = List.of("deadline", RefusalKinds.OVERLOADED, "no-engine",
			"too-large");

	/** Keeps the frame of a registration far below the frame size limit. */
	private static final int MAX_REGISTERED_GRANTS = 500;

	private static final int MAX_TRACKED_CALLERS = 4096;

	/** Estimated bytes of a prompt token in a request. */
	private static final long PROMPT_TOKEN_BYTES = 6;

	/** Estimated bytes of a generated token in its event. */
	private static final long GENERATED_TOKEN_BYTES = 48;

	private final Vertx vertx;

	private final PeerNetwork network;

	private final OwnerCache owners;

	private final LocalGrantService fallback;

	private final String region;

	private final long replyTimeoutMillis;

	private final CrossRegionBytes crossRegion = CrossRegionBytes.create(MAX_TRACKED_CALLERS, System.nanoTime());

	private final Map<String, LiveGrant> liveGrants = new ConcurrentHashMap<>();

	private final AtomicLong fallbackCount = new AtomicLong();

	private volatile DomainMap map;

	private volatile Map<String, Long> crossRegionLimits = Map.of();

	private DomainGrantService(Vertx vertx, PeerNetwork network, LocalGrantService fallback, String region,
			long replyTimeoutMillis) {
		this.vertx = vertx;
		this.network = network;
		this.owners = new OwnerCache(network);
		this.fallback = fallback;
		this.region = region;
		this.replyTimeoutMillis = replyTimeoutMillis;
	}

	/**
	 * Create the service.
	 * @param vertx the event loops to use
	 * @param network calls the other routers
	 * @param fallback selects engines when a scheduler does not reply
	 * @param region region of this router
	 * @param replyTimeoutMillis maximum time to wait for the reply of a scheduler, in
	 * milliseconds
	 * @return the service
	 */
	public static DomainGrantService create(Vertx vertx, PeerNetwork network, LocalGrantService fallback, String region,
			long replyTimeoutMillis) {
		return new DomainGrantService(vertx, network, fallback, region, replyTimeoutMillis);
	}

	/**
	 * Start renewing grants.
	 * @param renewMillis time between two renewals, in milliseconds
	 */
	public void start(long renewMillis) {
		this.network.register(BodyCase.GRANT_COLLECTION,
				(from, message) -> Future.succeededFuture(collection(message.getGrantCollection())));
		this.network.addMemberListener((members) -> renew());
		this.vertx.setPeriodic(renewMillis, (id) -> renew());
	}

	/**
	 * Replace the domains and the limits of callers.
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
	 * Return the estimated bytes of requests granted to other regions.
	 * @return the bytes since the start of the router
	 */
	public long crossRegionBytes() {
		return this.crossRegion.totalBytes();
	}

	/**
	 * Return how often engines were selected locally because no scheduler replied.
	 * @return the number since the start of the router
	 */
	public long fallbackCount() {
		return this.fallbackCount.get();
	}

	@Override
	public Future<GrantReply> request(GrantRequest request, Route.ToEngines route) {
		Context context = Vertx.currentContext();
		Promise<GrantReply> promise = Promise.promise();
		List<DomainId> domains = domains(route);
		PendingRequest pending = new PendingRequest(request, route, domains, System.nanoTime(),
				(context != null) ? context : this.vertx.getOrCreateContext(), promise);
		if (domains.isEmpty()) {
			decideLocally(pending, route);
		}
		else {
			requestFrom(pending, 0);
		}
		return promise.future();
	}

	private List<DomainId> domains(Route.ToEngines route) {
		DomainMap current = this.map;
		if (current == null) {
			return List.of();
		}
		List<DomainId> decode = route.decode().stream().flatMap((server) -> domain(current, server).stream()).toList();
		return route.prefill()
			.stream()
			.flatMap((server) -> domain(current, server).stream())
			.distinct()
			.filter(decode::contains)
			.toList();
	}

	private static Optional<DomainId> domain(DomainMap current, BackendServer server) {
		return current.domain(server.name().value());
	}

	private void requestFrom(PendingRequest pending, int position) {
		DomainId domain = pending.domains().get(position);
		Optional<HostName> owner = this.owners.owner(domain);
		Route.ToEngines route = restrictTo(pending.route(), domain);
		int waitedMillis = (int) ((System.nanoTime() - pending.startedNanos()) / 1_000_000);
		int remainingMillis = pending.request().getFirstTokenRemainingMillis();
		GrantRequest request = pending.request()
			.toBuilder()
			.setModel(domain.model())
			.setPlace(domain.place().value())
			.clearPrefillPools()
			.addAllPrefillPools(pools(route.prefill()))
			.clearDecodePools()
			.addAllDecodePools(pools(route.decode()))
			.setFirstTokenRemainingMillis((remainingMillis > 0) ? Math.max(1, remainingMillis - waitedMillis) : 0)
			.setOtherPlaces(pending.domains().size() - position - 1)
			.build();
		if (owner.isEmpty()) {
			decideLocally(pending, route);
			return;
		}
		this.network.call(owner.get(), PeerMessage.newBuilder().setGrantRequest(request), this.replyTimeoutMillis)
			.onSuccess((reply) -> handleReply(pending, position, route, reply));
	}

	private Route.ToEngines restrictTo(Route.ToEngines route, DomainId domain) {
		DomainMap current = this.map;
		return new Route.ToEngines(
				route.prefill()
					.stream()
					.filter((server) -> domain(current, server).filter(domain::equals).isPresent())
					.toList(),
				route.decode()
					.stream()
					.filter((server) -> domain(current, server).filter(domain::equals).isPresent())
					.toList(),
				route.selector());
	}

	private static List<String> pools(List<BackendServer> servers) {
		return servers.stream().map(BackendServer::group).distinct().toList();
	}

	private void handleReply(PendingRequest pending, int position, Route.ToEngines route, PeerReply reply) {
		if (!(reply instanceof PeerReply.Answered answer) || !answer.message().hasGrantReply()
				|| answer.message().getGrantReply().getRefusalKind().equals(RefusalKinds.NOT_OWNER)) {
			decideLocally(pending, route);
			return;
		}
		GrantReply decided = answer.message().getGrantReply();
		if (decided.getGranted()) {
			this.fallback.addGrant(decided);
			granted(pending, pending.domains().get(position), decided);
			countBytes(pending, route);
		}
		else if (decided.getRefusalKind().equals(RefusalKinds.WAITING)) {
			requestFrom(pending, position);
		}
		else if (RETRY_ELSEWHERE_KINDS.contains(decided.getRefusalKind()) && mayRequestFrom(pending, position + 1)) {
			requestFrom(pending, position + 1);
		}
		else {
			complete(pending, decided);
		}
	}

	private boolean mayRequestFrom(PendingRequest pending, int position) {
		if (position >= pending.domains().size()) {
			return false;
		}
		Route.ToEngines route = restrictTo(pending.route(), pending.domains().get(position));
		String caller = pending.request().getCaller();
		long limitBytes = this.crossRegionLimits.getOrDefault(caller, 0L);
		long shareBytes = (limitBytes == 0) ? 0
				: Math.max(1, limitBytes / Math.max(1, this.network.members().members().size()));
		return !leavesRegion(route)
				|| this.crossRegion.allows(caller, bytes(pending.request()), shareBytes, System.nanoTime());
	}

	private boolean leavesRegion(Route.ToEngines route) {
		return route.decode().stream().anyMatch((server) -> !server.region().equals(this.region));
	}

	private void countBytes(PendingRequest pending, Route.ToEngines route) {
		if (leavesRegion(route)) {
			this.crossRegion.count(pending.request().getCaller(), bytes(pending.request()));
		}
	}

	private static long bytes(GrantRequest request) {
		return request.getPromptTokens() * PROMPT_TOKEN_BYTES + request.getMaxTokens() * GENERATED_TOKEN_BYTES;
	}

	private void decideLocally(PendingRequest pending, Route.ToEngines route) {
		this.fallbackCount.incrementAndGet();
		GrantReply reply = this.fallback.decide(pending.request(), route);
		DomainMap current = this.map;
		if (reply.getGranted() && current != null) {
			current.domain(reply.getDecodeServer()).ifPresent((domain) -> granted(pending, domain, reply));
			countBytes(pending, route);
		}
		complete(pending, reply);
	}

	private void granted(PendingRequest pending, DomainId domain, GrantReply reply) {
		this.liveGrants.put(key(reply.getRequestId(), reply.getAttempt()),
				new LiveGrant(domain, pending.request(), reply, System.nanoTime()));
		complete(pending, reply);
	}

	private static void complete(PendingRequest pending, GrantReply reply) {
		pending.context().runOnContext((ignored) -> pending.promise().tryComplete(reply));
	}

	@Override
	public void update(GrantUpdate update) {
		String key = key(update.getRequestId(), update.getAttempt());
		boolean ends = update.getKind() == GrantUpdate.Kind.RELEASED || update.getKind() == GrantUpdate.Kind.FAILED;
		this.fallback.update(update);
		LiveGrant grant = ends ? this.liveGrants.remove(key) : this.liveGrants.get(key);
		if (grant != null) {
			send(grant.domain(), PeerMessage.newBuilder()
				.setGrantUpdate(
						update.toBuilder().setModel(grant.domain().model()).setPlace(grant.domain().place().value())));
		}
	}

	private Future<PeerReply> send(DomainId domain, PeerMessage.Builder message) {
		return this.owners.owner(domain)
			.map((owner) -> this.network.call(owner, message, this.replyTimeoutMillis))
			.orElseGet(() -> Future.succeededFuture(new PeerReply.NotDelivered("no router is alive")));
	}

	private void renew() {
		Map<DomainId, List<LiveGrant>> byDomain = this.liveGrants.values()
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
			.flatMap((id) -> Optional.ofNullable(this.liveGrants.get(key(id.getRequestId(), id.getAttempt()))).stream())
			.limit(MAX_REGISTERED_GRANTS)
			.toList();
		if (!grants.isEmpty()) {
			send(domain, PeerMessage.newBuilder().setGrantRegistration(registration(domain, grants)));
		}
	}

	private PeerMessage.Builder collection(GrantCollection request) {
		DomainId domain = new DomainId(request.getModel(), Place.of(request.getPlace()));
		return PeerMessage.newBuilder()
			.setGrantRegistration(registration(domain,
					this.liveGrants.values()
						.stream()
						.filter((grant) -> grant.domain().equals(domain))
						.limit(MAX_REGISTERED_GRANTS)
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

	private record PendingRequest(GrantRequest request, Route.ToEngines route, List<DomainId> domains,
			long startedNanos, Context context, Promise<GrantReply> promise) {
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
