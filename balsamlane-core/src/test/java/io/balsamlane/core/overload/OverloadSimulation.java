package io.balsamlane.core.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import io.balsamlane.core.model.CustomerId;

/**
 * Small model of routers that share engines, without a network. An engine is its KV cache
 * and a sequential prefill followed by decoding; a router sees the engines as they were 5
 * to 100 ms ago, plus what it has placed since. Callers abort a request without a first
 * event, and retry a rejected one once.
 */
final class OverloadSimulation {

	private static final int STEP_MILLIS = 5;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int HISTORY = 24;

	private static final long DEADLINE_MILLIS = 14_000;

	private static final long KV_TOKENS = 28_798;

	private static final int SLOTS = 48;

	private static final double TOKENS_PER_MILLI = 14.5;

	private static final long AVERAGE_TOKENS = 3300;

	private static final double NO_RULE = -1;

	/** Limits of the policies that look at memory only. */
	static final PlacementLimits MEMORY = new PlacementLimits(0.95, Long.MAX_VALUE, NO_RULE);

	static final PlacementLimits LATE_MEMORY = new PlacementLimits(0.75, Long.MAX_VALUE, NO_RULE);

	static final long[] TARGET_MILLIS = { 806, 1006, 2006 };

	static final double[] WORTH_ON_TIME = { 17, 8.8, 4.4 };

	static final double[] WORTH_LATE = { 1.3, 1.8, 1.3 };

	private final OverloadLoad load;

	private final Random random;

	private final List<Engine> engines = new ArrayList<>();

	private final List<Router> routers = new ArrayList<>();

	private final PriorityQueue<Request> arrivals = new PriorityQueue<>(
			Comparator.comparingDouble((request) -> request.sentMillis));

	private final List<Request> all = new ArrayList<>();

	long wastedTokens;

	long refusedByEngines;

	private OverloadSimulation(OverloadLoad load, int routerCount, PolicyFactory policy, long seed) {
		this.load = load;
		this.random = new Random(seed);
		for (int index = 0; index < load.engines(); index++) {
			this.engines.add(new Engine((index < load.engines() * load.slowShare()) ? load.slowFactor() : 1));
		}
		for (int index = 0; index < routerCount; index++) {
			this.routers.add(new Router(policy.create(), 1 + this.random.nextInt(20)));
		}
		generate(routerCount);
	}

	static OverloadSimulation run(OverloadLoad load, int routerCount, PolicyFactory policy, long seed) {
		OverloadSimulation simulation = new OverloadSimulation(load, routerCount, policy, seed);
		simulation.run();
		return simulation;
	}

	List<Request> requests() {
		return this.all;
	}

	private void generate(int routerCount) {
		double[] shares = this.load.customerShares();
		// The crowd is drawn separately, so that the other requests are the same without
		// it.
		for (int pass = 0; pass < 2; pass++) {
			double at = 0;
			while (true) {
				double rate = this.load.perSecond();
				double extra = rate * shares[OverloadLoad.CROWD] * (this.load.crowdFactor() - 1);
				double drawn = (pass == 0) ? rate * Math.max(this.load.peakFactor(), 1) : extra;
				if (drawn <= 0) {
					break;
				}
				at += -Math.log(1 - this.random.nextDouble()) / drawn * 1000;
				if (at > OverloadLoad.DURATION_MILLIS) {
					break;
				}
				boolean peak = at >= OverloadLoad.PEAK_FROM_MILLIS && at < OverloadLoad.PEAK_TO_MILLIS;
				double keep = this.random.nextDouble();
				Request request = new Request(at, this.random, shares, this.load);
				if (pass == 0 && !peak && keep > 1 / Math.max(this.load.peakFactor(), 1)) {
					continue;
				}
				if (pass == 1) {
					if (!peak) {
						continue;
					}
					request.customer = OverloadLoad.CROWD;
				}
				double point = this.random.nextDouble();
				if (this.load.hotPlace() && peak && this.random.nextDouble() < 1 / 6.0) {
					point = point / 6;
				}
				request.router = (int) (point * routerCount);
				this.all.add(request);
				this.arrivals.add(request);
			}
		}
	}

	private void run() {
		for (long now = 0; now < OverloadLoad.DURATION_MILLIS + DEADLINE_MILLIS; now += STEP_MILLIS) {
			long current = now;
			this.engines.forEach((engine) -> engine.advance(current));
			while (!this.arrivals.isEmpty() && this.arrivals.peek().sentMillis <= now) {
				Request request = this.arrivals.poll();
				this.routers.get(request.router).arrived(request, now);
			}
			if (now % 15 == 0) {
				for (Router router : this.routers) {
					router.drain(now);
				}
			}
		}
	}

	private void rejected(Request request, double retryAfterMillis, long now) {
		if (request.retried || now - request.arrivedMillis >= DEADLINE_MILLIS) {
			request.outcome = Outcome.REJECTED;
			request.endedMillis = now;
			return;
		}
		request.retried = true;
		double left = DEADLINE_MILLIS - (now - request.arrivedMillis);
		request.sentMillis = now + Math.min(retryAfterMillis, left / 3);
		request.router = this.random.nextInt(this.routers.size());
		this.arrivals.add(request);
	}

	enum Outcome {

		ON_TIME, LATE, REJECTED, ABORTED

	}

	/** Request of a caller. */
	static final class Request {

		final double arrivedMillis;

		double sentMillis;

		int customer;

		final int route;

		final int promptTokens;

		final int outputTokens;

		int router;

		boolean retried;

		Outcome outcome = Outcome.REJECTED;

		double endedMillis;

		double prefillEndMillis;

		Request(double at, Random random, double[] shares, OverloadLoad load) {
			this.arrivedMillis = at;
			this.sentMillis = at;
			this.customer = pick(shares, random.nextDouble());
			this.route = random.nextInt(3);
			this.promptTokens = (int) Math.min(14_000,
					load.promptTokens() * Math.exp(0.5 * random.nextGaussian() - 0.125));
			this.outputTokens = (int) Math.max(8, -Math.log(1 - random.nextDouble()) * load.outputTokens());
		}

		private static int pick(double[] shares, double point) {
			double left = point;
			for (int index = 0; index < shares.length; index++) {
				left -= shares[index];
				if (left < 0) {
					return index;
				}
			}
			return shares.length - 1;
		}

		long tokens() {
			return this.promptTokens + Math.round(this.outputTokens * 0.6);
		}

		long targetMillis() {
			return TARGET_MILLIS[this.route];
		}

		long eventTimeoutMillis() {
			return Math.max(2000, 4 * targetMillis());
		}

		double aloneMillis() {
			return this.promptTokens / TOKENS_PER_MILLI;
		}

		Demand demand(long now) {
			long arrived = (long) this.sentMillis;
			long onTimeUntil = (long) this.arrivedMillis + targetMillis() / 2;
			long left = (long) (this.arrivedMillis + DEADLINE_MILLIS) - now - 4000;
			long rejectAt = Math.max(now, Math.min(arrived + eventTimeoutMillis() - 800, now + left));
			return new Demand(Optional.of(customerId()), this.route, tokens(), arrived * NANOS_PER_MILLI,
					onTimeUntil * NANOS_PER_MILLI, rejectAt * NANOS_PER_MILLI);
		}

		CustomerId customerId() {
			return CustomerId.of("customer" + this.customer);
		}

	}

	/** An engine with its state at recent steps. */
	private final class Engine {

		private final double slowFactor;

		private final List<Request> running = new ArrayList<>();

		private final Deque<Request> prefills = new ArrayDeque<>();

		private final long[] kvHistory = new long[HISTORY];

		private final long[] pendingHistory = new long[HISTORY];

		private final int[] countHistory = new int[HISTORY];

		private double busyUntilMillis;

		Engine(double slowFactor) {
			this.slowFactor = slowFactor;
		}

		void advance(long now) {
			this.running.removeIf((request) -> {
				if (request.outcome == Outcome.ABORTED) {
					return true;
				}
				if (request.prefillEndMillis <= now && request.endedMillis <= now) {
					return true;
				}
				if (request.prefillEndMillis > now && now - request.sentMillis > request.eventTimeoutMillis()) {
					request.outcome = Outcome.ABORTED;
					OverloadSimulation.this.wastedTokens += request.promptTokens;
					return true;
				}
				return false;
			});
			int slot = (int) (now / STEP_MILLIS % HISTORY);
			this.kvHistory[slot] = kvTokens();
			this.pendingHistory[slot] = pending(now);
			this.countHistory[slot] = this.running.size();
		}

		private long kvTokens() {
			long sum = 0;
			for (Request request : this.running) {
				sum += request.tokens();
			}
			return sum;
		}

		private long pending(long now) {
			return Math.round(Math.max(0, this.busyUntilMillis - now) * TOKENS_PER_MILLI / this.slowFactor);
		}

		boolean start(Request request, long now) {
			long kv = kvTokens();
			if (!this.running.isEmpty() && (kv + request.tokens() > KV_TOKENS || this.running.size() >= SLOTS)) {
				OverloadSimulation.this.refusedByEngines++;
				return false;
			}
			this.running.add(request);
			this.busyUntilMillis = Math.max(now, this.busyUntilMillis) + request.aloneMillis() * this.slowFactor;
			request.prefillEndMillis = this.busyUntilMillis;
			request.endedMillis = request.prefillEndMillis
					+ request.outputTokens * OverloadSimulation.this.load.millisPerToken() * this.slowFactor;
			request.outcome = (request.prefillEndMillis - request.arrivedMillis <= request.targetMillis())
					? Outcome.ON_TIME : Outcome.LATE;
			return true;
		}

	}

	/** What a router believes of an engine. */
	private record View(Engine engine, long kvTokens, int requests, double waitMillis) {
	}

	/** A router with its queue and its own recent placements. */
	final class Router {

		private final Policy policy;

		private final int ageSteps;

		private final Deque<Placement> recent = new ArrayDeque<>();

		Router(Policy policy, int ageSteps) {
			this.policy = policy;
			this.ageSteps = ageSteps;
		}

		void arrived(Request request, long now) {
			this.policy.arrived(request, now);
			if (this.policy.behind(request, now) || !this.policy.placeArrival(request, placer(now), now)) {
				await(request, now);
			}
		}

		private void await(Request request, long now) {
			if (request.demand(now).rejectAtNanos() <= now * NANOS_PER_MILLI) {
				rejected(request, this.policy.retryAfterMillis(now, OverloadSimulation.this.random), now);
				return;
			}
			this.policy.offer(request, now)
				.ifPresent((refused) -> rejected(refused,
						this.policy.retryAfterMillis(now, OverloadSimulation.this.random), now));
		}

		void drain(long now) {
			if (this.policy.size() == 0) {
				return;
			}
			this.policy.expired(now)
				.forEach((request) -> rejected(request,
						this.policy.retryAfterMillis(now, OverloadSimulation.this.random), now));
			this.policy.drain(placer(now), now);
		}

		private Placer placer(long now) {
			return (request, limits) -> place(request, limits, now);
		}

		private boolean place(Request request, PlacementLimits limits, long now) {
			int free = 0;
			while (!this.recent.isEmpty() && this.recent.peekFirst().millis() < now - this.ageSteps * STEP_MILLIS) {
				this.recent.removeFirst();
			}
			int slot = (int) (Math.max(0, now / STEP_MILLIS - this.ageSteps) % HISTORY);
			Map<Engine, Placed> placed = new HashMap<>();
			this.recent.forEach((placement) -> placed.computeIfAbsent(placement.engine(), (engine) -> new Placed())
				.add(placement.request()));
			View best = null;
			double bestCost = Double.MAX_VALUE;
			for (Engine engine : OverloadSimulation.this.engines) {
				long needed = (limits.minFreeShare() == NO_RULE) ? request.tokens()
						: PlacementLimits.requiredTokens(request.tokens(), KV_TOKENS);
				long kv = engine.kvHistory[slot];
				long pending = engine.pendingHistory[slot];
				int count = engine.countHistory[slot];
				Placed own = placed.get(engine);
				if (own != null) {
					kv += own.kvTokens;
					pending += own.pendingTokens;
					count += own.requests;
				}
				double wait = Math.max(0, pending / TOKENS_PER_MILLI * engine.slowFactor);
				if (wait <= limits.maxQueueMillis() && (count == 0 || kv
						+ PlacementLimits.requiredTokens(AVERAGE_TOKENS, KV_TOKENS) <= limits.maxFill() * KV_TOKENS)) {
					free++;
				}
				if (count > 0 && (kv + needed > limits.maxFill() * KV_TOKENS || count >= SLOTS)) {
					continue;
				}
				double cost = wait + request.aloneMillis() * engine.slowFactor
						+ OverloadSimulation.this.random.nextDouble() * 15;
				if (wait <= limits.maxQueueMillis() && cost < bestCost) {
					bestCost = cost;
					best = new View(engine, kv, count, wait);
				}
			}
			if (best == null || free < limits.minFreeShare() * OverloadSimulation.this.engines.size()) {
				return false;
			}
			this.recent.addLast(new Placement(best.engine(), request, now));
			if (!best.engine().start(request, now)) {
				// As in the router, the rejected request looks for another engine.
				await(request, now);
			}
			return true;
		}

	}

	/** What a router has placed on an engine and does not see in its view yet. */
	private static final class Placed {

		private long kvTokens;

		private long pendingTokens;

		private int requests;

		void add(Request request) {
			this.kvTokens += request.tokens();
			this.pendingTokens += request.promptTokens;
			this.requests++;
		}

	}

	private record Placement(Engine engine, Request request, long millis) {
	}

	/** Places a request on an engine within the given limits. */
	@FunctionalInterface
	interface Placer {

		boolean place(Request request, PlacementLimits limits);

	}

	/** Creates the policy of one router. */
	@FunctionalInterface
	interface PolicyFactory {

		Policy create();

	}

	/** Order, limits and rejections of one router. */
	interface Policy {

		void arrived(Request request, long now);

		boolean behind(Request request, long now);

		boolean placeArrival(Request request, Placer placer, long now);

		Optional<Request> offer(Request request, long now);

		List<Request> expired(long now);

		void drain(Placer placer, long now);

		int size();

		default double retryAfterMillis(long now, Random random) {
			return 2500 * (1 + 0.5 * random.nextDouble());
		}

	}

}
