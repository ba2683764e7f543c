package io.balsamlane.router.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.scheduling.CacheEvent;
import io.balsamlane.core.scheduling.DomainId;
import io.balsamlane.core.scheduling.DomainMap;
import io.balsamlane.core.scheduling.EngineDescriptor;
import io.balsamlane.core.scheduling.EngineLoad;
import io.balsamlane.core.scheduling.Scheduler;
import io.balsamlane.core.scheduling.SchedulerParameters;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.ActiveGrant;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.GrantCollection;
import io.balsamlane.schema.GrantRegistration;
import io.balsamlane.schema.GrantRenewal;
import io.balsamlane.schema.GrantRenewalReply;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.PeerMessage.BodyCase;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs the schedulers of the domains that this router owns and replies to the requests of
 * entry routers.
 */
public final class SchedulerService {

	/** Maximum number of owned domains; 14 models in 11 data centres need 154. */
	private static final int MAX_DOMAINS = 1024;

	private static final long OWNERSHIP_CHECK_NANOS = 500_000_000L;

	private final PeerNetwork network;

	private final OwnerCache owners;

	private final DecisionThread thread;

	private final Context context;

	private final SchedulerParameters parameters;

	private final long replyTimeoutMillis;

	private final Map<DomainId, OwnedDomain> domains = new HashMap<>();

	private final AtomicReference<Topology> nextTopology = new AtomicReference<>();

	private Topology topology = new Topology(null, List.of());

	private long lastOwnershipCheckNanos = System.nanoTime();

	private volatile List<EngineDescriptor> observedEngines = List.of();

	private volatile int liveGrants;

	private volatile int queuedRequests;

	private SchedulerService(Vertx vertx, PeerNetwork network, DecisionThread thread, SchedulerParameters parameters,
			long replyTimeoutMillis) {
		this.network = network;
		this.owners = new OwnerCache(network);
		this.thread = thread;
		this.context = vertx.getOrCreateContext();
		this.parameters = parameters;
		this.replyTimeoutMillis = replyTimeoutMillis;
	}

	/**
	 * Create the service.
	 * @param vertx the event loops to use
	 * @param network calls the other routers
	 * @param thread runs the schedulers
	 * @param parameters parameters of each scheduler
	 * @param replyTimeoutMillis time within which an entry router expects a reply, in
	 * milliseconds
	 * @return the service
	 */
	public static SchedulerService create(Vertx vertx, PeerNetwork network, DecisionThread thread,
			SchedulerParameters parameters, long replyTimeoutMillis) {
		return new SchedulerService(vertx, network, thread, parameters, replyTimeoutMillis);
	}

	/**
	 * Start the schedulers and accept requests from routers.
	 */
	public void start() {
		this.network.register(BodyCase.GRANT_REQUEST, (from, message) -> request(message.getGrantRequest())
			.map((reply) -> PeerMessage.newBuilder().setGrantReply(reply)));
		this.network.register(BodyCase.GRANT_UPDATE, (from, message) -> {
			GrantUpdate update = message.getGrantUpdate();
			return runOnDomain(update.getModel(), update.getPlace(),
					(domain) -> domain.completeReplies(domain.scheduler.update(update, System.nanoTime())));
		});
		this.network.register(BodyCase.GRANT_REGISTRATION, (from, message) -> {
			GrantRegistration registration = message.getGrantRegistration();
			return runOnDomain(registration.getModel(), registration.getPlace(),
					(domain) -> register(domain, registration.getGrantsList()));
		});
		this.network.register(BodyCase.GRANT_RENEWAL, (from, message) -> renew(message.getGrantRenewal()));
		this.thread.start(this::tick);
	}

	/**
	 * Replace the engines and callers of the schedulers.
	 * @param map the engines by domain
	 * @param callers callers with their limits
	 */
	public void setTopology(DomainMap map, List<Caller> callers) {
		this.nextTopology.set(new Topology(map, callers));
	}

	/**
	 * Return the engines of the domains that this router owns. Safe to call from any
	 * thread.
	 * @return the engines
	 */
	public List<EngineDescriptor> observedEngines() {
		return this.observedEngines;
	}

	/**
	 * Return the number of live grants in all owned domains. Safe to call from any
	 * thread.
	 * @return the number of grants
	 */
	public int liveGrants() {
		return this.liveGrants;
	}

	/**
	 * Return the number of queued requests in all owned domains. Safe to call from any
	 * thread.
	 * @return the number of requests
	 */
	public int queuedRequests() {
		return this.queuedRequests;
	}

	/**
	 * Apply a load report of an engine.
	 * @param engine the engine
	 * @param load the report
	 */
	public void observeLoad(EngineDescriptor engine, EngineLoad load) {
		this.thread
			.submit(() -> runOnDomainOf(engine, (domain) -> domain.scheduler.observeLoad(load, System.nanoTime())));
	}

	/**
	 * Apply changes of the prefix cache of an engine.
	 * @param engine the engine
	 * @param events the changes, oldest first
	 */
	public void observeCache(EngineDescriptor engine, List<CacheEvent> events) {
		this.thread
			.submit(() -> runOnDomainOf(engine, (domain) -> domain.scheduler.observeCache(engine.name(), events)));
	}

	private void runOnDomainOf(EngineDescriptor engine, Consumer<OwnedDomain> action) {
		if (this.topology.map() != null) {
			this.topology.map().domain(engine.name()).map(this.domains::get).ifPresent(action);
		}
	}

	private Future<GrantReply> request(GrantRequest request) {
		Promise<GrantReply> promise = Promise.promise();
		Promise<GrantReply> decided = Promise.promise();
		decided.future().onSuccess((reply) -> this.context.runOnContext((ignored) -> promise.complete(reply)));
		if (!this.thread.submit(() -> request(request, decided))) {
			promise.complete(OwnedDomain.refusal(request, RefusalKinds.OVERLOADED));
		}
		return promise.future();
	}

	private void request(GrantRequest request, Promise<GrantReply> promise) {
		long nowNanos = System.nanoTime();
		DomainId id = new DomainId(request.getModel(), Place.of(request.getPlace()));
		OwnedDomain domain = ownedDomain(id, nowNanos);
		if (domain == null) {
			promise.complete(OwnedDomain.refusal(request, RefusalKinds.NOT_OWNER));
		}
		else if (domain.collectionEnded(nowNanos)) {
			decide(domain, request, promise, nowNanos);
		}
		else if (domain.deferred.size() < this.parameters.maxQueued()) {
			domain.deferred.add(new OwnedDomain.Deferred(request, promise, nowNanos));
		}
		else {
			promise.complete(OwnedDomain.refusal(request, RefusalKinds.OVERLOADED));
		}
	}

	private void decide(OwnedDomain domain, GrantRequest request, Promise<GrantReply> promise, long nowNanos) {
		domain.addPending(request, promise, nowNanos + this.replyTimeoutMillis * 1_000_000L / 2);
		domain.completeReplies(domain.scheduler.request(request, nowNanos));
	}

	private OwnedDomain ownedDomain(DomainId id, long nowNanos) {
		applyTopology(nowNanos);
		OwnedDomain known = this.domains.get(id);
		if (known != null) {
			return known;
		}
		if (!this.owners.owns(id) || this.domains.size() >= MAX_DOMAINS) {
			return null;
		}
		OwnedDomain domain = new OwnedDomain(id,
				Scheduler.create(this.parameters, RandomSource.XO_RO_SHI_RO_128_PP.create(), nowNanos));
		this.domains.put(id, domain);
		configure(domain, nowNanos);
		publishObserved();
		collectGrants(domain, nowNanos);
		return domain;
	}

	private void configure(OwnedDomain domain, long nowNanos) {
		if (this.topology.map() != null) {
			domain.scheduler.setEngines(this.topology.map().engines(domain.id), nowNanos);
			domain.scheduler.setCallers(this.topology.callers(), nowNanos);
		}
	}

	private void publishObserved() {
		this.observedEngines = (this.topology.map() == null) ? List.of()
				: this.domains.keySet().stream().flatMap((id) -> this.topology.map().engines(id).stream()).toList();
	}

	private void collectGrants(OwnedDomain domain, long nowNanos) {
		List<HostName> members = this.network.members().members().stream().map(Member::host).toList();
		domain.awaitedCollections = members.size();
		domain.collectionDeadlineNanos = nowNanos + this.replyTimeoutMillis * 1_000_000L;
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setGrantCollection(
					GrantCollection.newBuilder().setModel(domain.id.model()).setPlace(domain.id.place().value()));
		this.context.runOnContext((ignored) -> members
			.forEach((member) -> this.network.call(member, message.clone(), this.replyTimeoutMillis)
				.onSuccess((reply) -> this.thread.submit(() -> handleCollection(domain, reply)))));
	}

	private void handleCollection(OwnedDomain domain, PeerReply reply) {
		domain.awaitedCollections--;
		if (reply instanceof PeerReply.Answered answered) {
			register(domain, answered.message().getGrantRegistration().getGrantsList());
		}
		admitDeferred(domain, System.nanoTime());
	}

	private static void register(OwnedDomain domain, List<ActiveGrant> grants) {
		long nowNanos = System.nanoTime();
		grants.forEach((grant) -> domain.scheduler.register(grant, nowNanos));
	}

	private void admitDeferred(OwnedDomain domain, long nowNanos) {
		if (!domain.collectionEnded(nowNanos) || domain.deferred.isEmpty()) {
			return;
		}
		List<OwnedDomain.Deferred> requests = List.copyOf(domain.deferred);
		domain.deferred.clear();
		requests.forEach((waiting) -> {
			int waitedMillis = (int) ((nowNanos - waiting.arrivedNanos()) / 1_000_000);
			int remainingMillis = waiting.request().getFirstTokenRemainingMillis();
			GrantRequest request = (remainingMillis == 0) ? waiting.request()
					: waiting.request()
						.toBuilder()
						.setFirstTokenRemainingMillis(Math.max(1, remainingMillis - waitedMillis))
						.build();
			decide(domain, request, waiting.promise(), nowNanos);
		});
	}

	private Future<PeerMessage.Builder> runOnDomain(String model, String place, Consumer<OwnedDomain> action) {
		this.thread.submit(() -> {
			OwnedDomain domain = ownedDomain(new DomainId(model, Place.of(place)), System.nanoTime());
			if (domain != null) {
				action.accept(domain);
			}
		});
		return Future
			.succeededFuture(PeerMessage.newBuilder().setGrantRenewalReply(GrantRenewalReply.getDefaultInstance()));
	}

	private Future<PeerMessage.Builder> renew(GrantRenewal renewal) {
		Promise<PeerMessage.Builder> promise = Promise.promise();
		boolean accepted = this.thread.submit(() -> {
			long nowNanos = System.nanoTime();
			OwnedDomain domain = ownedDomain(new DomainId(renewal.getModel(), Place.of(renewal.getPlace())), nowNanos);
			GrantRenewalReply.Builder reply = GrantRenewalReply.newBuilder();
			if (domain != null) {
				renewal.getGrantsList()
					.stream()
					.filter((grant) -> !domain.scheduler.renew(grant.getRequestId(), grant.getAttempt(), nowNanos))
					.forEach(reply::addUnknown);
			}
			this.context
				.runOnContext((ignored) -> promise.complete(PeerMessage.newBuilder().setGrantRenewalReply(reply)));
		});
		return accepted ? promise.future() : Future.failedFuture("the decision queue is full");
	}

	private void tick() {
		long nowNanos = System.nanoTime();
		applyTopology(nowNanos);
		if (nowNanos - this.lastOwnershipCheckNanos >= OWNERSHIP_CHECK_NANOS) {
			this.lastOwnershipCheckNanos = nowNanos;
			closeLostDomains();
		}
		int grants = 0;
		int queued = 0;
		for (OwnedDomain domain : this.domains.values()) {
			admitDeferred(domain, nowNanos);
			domain.completeReplies(domain.scheduler.tick(nowNanos));
			domain.answerOverdue(nowNanos);
			grants += domain.scheduler.view().liveGrants();
			queued += domain.scheduler.view().waiting();
		}
		this.liveGrants = grants;
		this.queuedRequests = queued;
	}

	// Called before each look-up of a domain, so that a request is not refused for lack
	// of engines while a new topology waits for the next tick.
	private void applyTopology(long nowNanos) {
		if (this.nextTopology.get() == null) {
			return;
		}
		this.topology = this.nextTopology.getAndSet(null);
		this.domains.values().forEach((domain) -> configure(domain, nowNanos));
		publishObserved();
	}

	private void closeLostDomains() {
		boolean dropped = this.domains.values().removeIf((domain) -> {
			boolean lost = !this.owners.owns(domain.id);
			if (lost) {
				domain.close();
			}
			return lost;
		});
		if (dropped) {
			publishObserved();
		}
	}

	private record Topology(DomainMap map, List<Caller> callers) {
	}

}
