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
 * Runs the schedulers of the domains that this router owns and answers the other routers.
 */
public final class SchedulerHost {

	/** Bound of the domains: 14 models in 11 places are 154. */
	private static final int MAX_DOMAINS = 1024;

	private static final long OWNERSHIP_NANOS = 500_000_000L;

	private final PeerNetwork network;

	private final OwnerCache owners;

	private final DecisionThread thread;

	private final Context context;

	private final SchedulerParameters parameters;

	private final long answerMillis;

	private final Map<DomainId, Domain> domains = new HashMap<>();

	private final AtomicReference<Topology> nextTopology = new AtomicReference<>();

	private Topology topology = new Topology(null, List.of());

	private long ownershipNanos = System.nanoTime();

	private volatile List<EngineDescriptor> observed = List.of();

	private volatile int liveGrants;

	private volatile int waiting;

	private SchedulerHost(Vertx vertx, PeerNetwork network, DecisionThread thread, SchedulerParameters parameters,
			long answerMillis) {
		this.network = network;
		this.owners = new OwnerCache(network);
		this.thread = thread;
		this.context = vertx.getOrCreateContext();
		this.parameters = parameters;
		this.answerMillis = answerMillis;
	}

	/**
	 * Creates the host.
	 * @param vertx the event loops to use
	 * @param network the other routers
	 * @param thread owns the schedulers
	 * @param parameters parameters of each scheduler
	 * @param answerMillis time in which an entry router expects an answer
	 * @return the host
	 */
	public static SchedulerHost create(Vertx vertx, PeerNetwork network, DecisionThread thread,
			SchedulerParameters parameters, long answerMillis) {
		return new SchedulerHost(vertx, network, thread, parameters, answerMillis);
	}

	/**
	 * Starts answering.
	 */
	public void start() {
		this.network.register(BodyCase.GRANT_REQUEST, (from, message) -> request(message.getGrantRequest())
			.map((reply) -> PeerMessage.newBuilder().setGrantReply(reply)));
		this.network.register(BodyCase.GRANT_UPDATE, (from, message) -> {
			GrantUpdate update = message.getGrantUpdate();
			return run(update.getModel(), update.getPlace(),
					(domain) -> domain.deliver(domain.scheduler.update(update, System.nanoTime())));
		});
		this.network.register(BodyCase.GRANT_REGISTRATION, (from, message) -> {
			GrantRegistration registration = message.getGrantRegistration();
			return run(registration.getModel(), registration.getPlace(),
					(domain) -> register(domain, registration.getGrantsList()));
		});
		this.network.register(BodyCase.GRANT_RENEWAL, (from, message) -> renew(message.getGrantRenewal()));
		this.thread.start(this::tick);
	}

	/**
	 * Replaces the engines and callers that the schedulers know.
	 * @param map the engines by domain
	 * @param callers callers with their limits
	 */
	public void setTopology(DomainMap map, List<Caller> callers) {
		this.nextTopology.set(new Topology(map, callers));
	}

	/**
	 * Returns the engines of the domains that this router owns. Safe for use by any
	 * thread.
	 * @return the engines
	 */
	public List<EngineDescriptor> observedEngines() {
		return this.observed;
	}

	/**
	 * Returns the live grants of all owned domains. Safe for use by any thread.
	 * @return the number of grants
	 */
	public int liveGrants() {
		return this.liveGrants;
	}

	/**
	 * Returns the requests that wait in all owned domains. Safe for use by any thread.
	 * @return the number of requests
	 */
	public int waiting() {
		return this.waiting;
	}

	/**
	 * Takes in a load report of an engine.
	 * @param facts the engine
	 * @param load the report
	 */
	public void observeLoad(EngineDescriptor facts, EngineLoad load) {
		this.thread.submit(() -> ownerOf(facts, (domain) -> domain.scheduler.observeLoad(load, System.nanoTime())));
	}

	/**
	 * Takes in changes of an engine's prefix cache.
	 * @param facts the engine
	 * @param events the changes, oldest first
	 */
	public void observeCache(EngineDescriptor facts, List<CacheEvent> events) {
		this.thread.submit(() -> ownerOf(facts, (domain) -> domain.scheduler.observeCache(facts.name(), events)));
	}

	private void ownerOf(EngineDescriptor facts, Consumer<Domain> action) {
		if (this.topology.map() != null) {
			this.topology.map().domain(facts.name()).map(this.domains::get).ifPresent(action);
		}
	}

	private Future<GrantReply> request(GrantRequest request) {
		Promise<GrantReply> promise = Promise.promise();
		Promise<GrantReply> decided = Promise.promise();
		decided.future().onSuccess((reply) -> this.context.runOnContext((ignored) -> promise.complete(reply)));
		if (!this.thread.submit(() -> request(request, decided))) {
			promise.complete(Domain.refusal(request, Kinds.OVERLOADED));
		}
		return promise.future();
	}

	private void request(GrantRequest request, Promise<GrantReply> promise) {
		long nowNanos = System.nanoTime();
		DomainId id = new DomainId(request.getModel(), Place.of(request.getPlace()));
		Domain domain = domain(id, nowNanos);
		if (domain == null) {
			promise.complete(Domain.refusal(request, Kinds.NOT_OWNER));
		}
		else if (domain.collected(nowNanos)) {
			decide(domain, request, promise, nowNanos);
		}
		else if (domain.deferred.size() < this.parameters.maxQueued()) {
			domain.deferred.add(new Domain.Deferred(request, promise, nowNanos));
		}
		else {
			promise.complete(Domain.refusal(request, Kinds.OVERLOADED));
		}
	}

	private void decide(Domain domain, GrantRequest request, Promise<GrantReply> promise, long nowNanos) {
		domain.await(request, promise, nowNanos + this.answerMillis * 1_000_000L / 2);
		domain.deliver(domain.scheduler.request(request, nowNanos));
	}

	private Domain domain(DomainId id, long nowNanos) {
		takeTopology(nowNanos);
		Domain known = this.domains.get(id);
		if (known != null) {
			return known;
		}
		if (!this.owners.owns(id) || this.domains.size() >= MAX_DOMAINS) {
			return null;
		}
		Domain domain = new Domain(id,
				Scheduler.create(this.parameters, RandomSource.XO_RO_SHI_RO_128_PP.create(), nowNanos));
		this.domains.put(id, domain);
		configure(domain, nowNanos);
		publishObserved();
		collect(domain, nowNanos);
		return domain;
	}

	private void configure(Domain domain, long nowNanos) {
		if (this.topology.map() != null) {
			domain.scheduler.setEngines(this.topology.map().engines(domain.id), nowNanos);
			domain.scheduler.setCallers(this.topology.callers(), nowNanos);
		}
	}

	private void publishObserved() {
		this.observed = (this.topology.map() == null) ? List.of()
				: this.domains.keySet().stream().flatMap((id) -> this.topology.map().engines(id).stream()).toList();
	}

	private void collect(Domain domain, long nowNanos) {
		List<HostName> members = this.network.members().members().stream().map(Member::host).toList();
		domain.collecting = members.size();
		domain.collectUntilNanos = nowNanos + this.answerMillis * 1_000_000L;
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setGrantCollection(
					GrantCollection.newBuilder().setModel(domain.id.model()).setPlace(domain.id.place().value()));
		this.context.runOnContext(
				(ignored) -> members.forEach((member) -> this.network.call(member, message.clone(), this.answerMillis)
					.onSuccess((reply) -> this.thread.submit(() -> collected(domain, reply)))));
	}

	private void collected(Domain domain, PeerReply reply) {
		domain.collecting--;
		if (reply instanceof PeerReply.Answered answered) {
			register(domain, answered.message().getGrantRegistration().getGrantsList());
		}
		admitDeferred(domain, System.nanoTime());
	}

	private static void register(Domain domain, List<ActiveGrant> grants) {
		long nowNanos = System.nanoTime();
		grants.forEach((grant) -> domain.scheduler.register(grant, nowNanos));
	}

	private void admitDeferred(Domain domain, long nowNanos) {
		if (!domain.collected(nowNanos) || domain.deferred.isEmpty()) {
			return;
		}
		List<Domain.Deferred> requests = List.copyOf(domain.deferred);
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

	private Future<PeerMessage.Builder> run(String model, String place, Consumer<Domain> action) {
		this.thread.submit(() -> {
			Domain domain = domain(new DomainId(model, Place.of(place)), System.nanoTime());
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
			Domain domain = domain(new DomainId(renewal.getModel(), Place.of(renewal.getPlace())), nowNanos);
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
		return accepted ? promise.future() : Future.failedFuture("the decision ring is full");
	}

	private void tick() {
		long nowNanos = System.nanoTime();
		takeTopology(nowNanos);
		if (nowNanos - this.ownershipNanos >= OWNERSHIP_NANOS) {
			this.ownershipNanos = nowNanos;
			dropLostDomains();
		}
		int grants = 0;
		int queued = 0;
		for (Domain domain : this.domains.values()) {
			admitDeferred(domain, nowNanos);
			domain.deliver(domain.scheduler.tick(nowNanos));
			domain.answerWaiting(nowNanos);
			grants += domain.scheduler.view().liveGrants();
			queued += domain.scheduler.view().waiting();
		}
		this.liveGrants = grants;
		this.waiting = queued;
	}

	// Called before each look-up of a domain: a request must not be refused for lack of
	// engines because the topology that names them still waits for a tick.
	private void takeTopology(long nowNanos) {
		if (this.nextTopology.get() == null) {
			return;
		}
		this.topology = this.nextTopology.getAndSet(null);
		this.domains.values().forEach((domain) -> configure(domain, nowNanos));
		publishObserved();
	}

	private void dropLostDomains() {
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
