package io.balsamlane.bench.pauses;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.balsamlane.core.forwarding.AttemptOutcome;
import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.NextStep;
import io.balsamlane.core.forwarding.RequestAttempts;
import io.balsamlane.core.forwarding.RequestKind;
import io.balsamlane.core.forwarding.ServerTable;
import io.balsamlane.core.forwarding.WindowedRetryBudget;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.retry.ReplicaChooser;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Discrete-event model of routers before a plain service whose servers ask for pauses in
 * turn. The routers decide with the product's own classes: the table of servers, the
 * choice of a replica, the attempts of a request and the retry budget. Callers return
 * once after a refusal.
 */
public final class PauseModel {

	private static final String SERVICE = "service";

	private static final double TRIP_MILLIS = 1;

	private static final double DEFAULT_RETRY_MILLIS = 300;

	private static final double RETURN_SPREAD_MILLIS = 300;

	/** Time after a rejection within which further requests may still arrive. */
	private static final double GRACE_MILLIS = 500;

	private static final double RETRY_SHARE = 0.2;

	private static final double EXTRA_RETRIES = 54;

	private static final long WINDOW_NANOS = 10_000_000_000L;

	private final PausePlan plan;

	private final UniformRandomProvider random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::order));

	private final List<ServerModel> servers;

	private final List<RouterModel> routers;

	private long order;

	private double nowMillis;

	private int requests;

	private int inTarget;

	private int late;

	private int refused;

	private int arrivals;

	private int arrivalsInPause;

	private PauseModel(PausePlan plan, long seed) {
		this.plan = plan;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.servers = IntStream.range(0, plan.servers()).mapToObj(ServerModel::new).toList();
		this.routers = IntStream.range(0, plan.routers()).mapToObj((number) -> new RouterModel()).toList();
	}

	/**
	 * Play one run.
	 * @param plan load and service
	 * @param seed seed of the arrivals and of all choices
	 * @return the counts
	 */
	public static PauseResult run(PausePlan plan, long seed) {
		return new PauseModel(plan, seed).run();
	}

	private PauseResult run() {
		at(0, this::arrive);
		while (!this.events.isEmpty()) {
			Event next = this.events.poll();
			this.nowMillis = next.atMillis();
			next.action().run();
		}
		return new PauseResult(this.requests, this.inTarget, this.late, this.refused, this.arrivals,
				this.arrivalsInPause);
	}

	private void at(double millisFromNow, Runnable action) {
		this.events.add(new Event(this.nowMillis + millisFromNow, this.order++, action));
	}

	private double exponential(double mean) {
		return -mean * Math.log(1 - this.random.nextDouble());
	}

	private long nowNanos() {
		return (long) (this.nowMillis * 1e6);
	}

	private void arrive() {
		if (this.nowMillis > this.plan.seconds() * 1000) {
			return;
		}
		this.requests++;
		new Call().start();
		at(exponential(1 / this.plan.requestsPerMilli()), this::arrive);
	}

	private record Event(double atMillis, long order, Runnable action) {
	}

	private final class ServerModel {

		private final int number;

		private final ListedServer listed;

		private final Deque<Runnable> queue = new ArrayDeque<>();

		private int running;

		ServerModel(int number) {
			this.number = number;
			this.listed = new ListedServer(
					new BackendServer(ServerName.of("server-" + number), BackendServer.Kind.SERVICE, SERVICE,
							Place.of("place"), "region", Endpoint.of("127.0.0.1", 1 + number), false),
					EngineStage.NONE, PauseModel.this.plan.slots(), 1);
		}

		// Returns false if the request is rejected.
		boolean accept(Runnable completed) {
			if (PauseModel.this.plan.paused(this.number, PauseModel.this.nowMillis)
					|| this.queue.size() >= PauseModel.this.plan.slots()) {
				return false;
			}
			this.queue.add(completed);
			next();
			return true;
		}

		private void next() {
			if (this.running < PauseModel.this.plan.slots() && !this.queue.isEmpty()) {
				this.running++;
				Runnable completed = this.queue.poll();
				at(exponential(PauseModel.this.plan.workMillis()), () -> {
					this.running--;
					completed.run();
					next();
				});
			}
		}

	}

	private final class RouterModel {

		private final ServerTable table = ServerTable.create(0, 4096);

		private final ReplicaChooser replicas = ReplicaChooser.create(4096,
				RandomSource.XO_RO_SHI_RO_128_PP.create(PauseModel.this.random.nextLong()));

		private final WindowedRetryBudget budget = WindowedRetryBudget.create(RETRY_SHARE,
				() -> EXTRA_RETRIES / PauseModel.this.plan.routers(), WINDOW_NANOS);

		/** Time of the first rejection in each pause, by the number of the pause. */
		private final Map<Long, Double> rejectedMillis = new HashMap<>();

		RouterModel() {
			PauseModel.this.servers.forEach((server) -> this.table.put(server.listed));
		}

		void rejected(ServerModel server) {
			if (!PauseModel.this.plan.paused(server.number, PauseModel.this.nowMillis)) {
				return;
			}
			this.rejectedMillis.putIfAbsent(PauseModel.this.plan.pause(PauseModel.this.nowMillis),
					PauseModel.this.nowMillis);
			if (PauseModel.this.plan.heed()) {
				this.table.holdBack(server.listed,
						Math.round(PauseModel.this.plan.pauseLeftMillis(PauseModel.this.nowMillis)
								+ RETURN_SPREAD_MILLIS * PauseModel.this.random.nextDouble()),
						nowNanos());
			}
		}

		void countArrival(ServerModel server) {
			double rejectedAtMillis = this.rejectedMillis
				.getOrDefault(PauseModel.this.plan.pause(PauseModel.this.nowMillis), PauseModel.this.nowMillis);
			if (PauseModel.this.plan.paused(server.number, PauseModel.this.nowMillis)
					&& PauseModel.this.nowMillis - rejectedAtMillis > GRACE_MILLIS) {
				PauseModel.this.arrivalsInPause++;
			}
			PauseModel.this.arrivals++;
		}

	}

	private final class Call {

		private final double startedMillis = PauseModel.this.nowMillis;

		private boolean returned;

		private RouterModel router;

		private RequestAttempts attempts;

		private Set<BackendServer> tried;

		private long number;

		void start() {
			this.router = PauseModel.this.routers.get(PauseModel.this.random.nextInt(PauseModel.this.routers.size()));
			this.router.budget.recordRequest(nowNanos());
			this.tried = new HashSet<>();
			this.attempts = RequestAttempts.create(RequestKind.NON_IDEMPOTENT, 1,
					() -> this.router.budget.tryAcquire(nowNanos()));
			attempt();
		}

		private void attempt() {
			Map<BackendServer, ListedServer> usable = this.router.table.usable(SERVICE, nowNanos())
				.stream()
				.collect(Collectors.toMap(ListedServer::server, Function.identity()));
			Optional<BackendServer> chosen = this.router.replicas.choose(List.copyOf(usable.keySet()), this.tried,
					false, nowNanos());
			if (chosen.isEmpty()) {
				refuse();
				return;
			}
			BackendServer target = chosen.get();
			ServerModel server = PauseModel.this.servers.get(target.endpoint().port() - 1);
			this.tried.add(target);
			this.attempts.started(target.name());
			this.number = PauseModel.this.order;
			this.router.replicas.started(target, this.number, nowNanos());
			at(TRIP_MILLIS, () -> {
				this.router.countArrival(server);
				if (!server.accept(() -> at(TRIP_MILLIS, () -> answered(target)))) {
					at(TRIP_MILLIS, () -> rejected(server, target));
				}
			});
		}

		private void answered(BackendServer target) {
			this.router.replicas.succeeded(target, this.number, nowNanos());
			this.attempts.ended(new AttemptOutcome.Answered(200), false);
			if (PauseModel.this.nowMillis - this.startedMillis <= PauseModel.this.plan.targetMillis()) {
				PauseModel.this.inTarget++;
			}
			else {
				PauseModel.this.late++;
			}
		}

		private void rejected(ServerModel server, BackendServer target) {
			this.router.replicas.abandoned(target, this.number);
			this.router.rejected(server);
			if (this.attempts.ended(new AttemptOutcome.NotRun(503), true) == NextStep.TRY_AGAIN) {
				attempt();
			}
			else {
				refuse();
			}
		}

		private void refuse() {
			double waitMillis = Math.max(DEFAULT_RETRY_MILLIS, this.router.table.returnMillis(SERVICE, nowNanos()))
					* (1 + 0.5 * PauseModel.this.random.nextDouble());
			double leftMillis = this.startedMillis + PauseModel.this.plan.deadlineMillis() - PauseModel.this.nowMillis;
			if (this.returned || waitMillis > leftMillis / 3) {
				PauseModel.this.refused++;
				return;
			}
			this.returned = true;
			at(waitMillis, this::start);
		}

	}

}
