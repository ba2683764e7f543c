package io.balsamlane.core.quota;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Loop over a fleet of routers with the quota classes, the requests of 16 customers and
 * failures. Calls take no time; a router notices others that join, die or become
 * unreachable with a delay that differs for each pair.
 */
final class QuotaFleetModel {

	static final int CUSTOMERS = 16;

	private static final long TICK_NANOS = 20_000_000;

	private static final int SLOTS_PER_SECOND = 10;

	/** Servers begin all requests of half a second together. */
	private static final int BEGIN_SLOTS = 5;

	private static final int PLACES = 6;

	private static final double LARGE_TOKENS = 190_000;

	private static final double SMALL_TOKENS = 20_000;

	private static final double HEADROOM = 1.8;

	private static final int MODEL_TOKENS = 3370;

	private static final int PLAIN_TOKENS = 200;

	private final int size;

	private final boolean equalShares;

	private final UniformRandomProvider random;

	private final List<Member> members;

	private final Router[] routers;

	private final CustomerQuota[] quotas = new CustomerQuota[CUSTOMERS];

	private final CustomerId[] customers = new CustomerId[CUSTOMERS];

	private final double[] factor = new double[CUSTOMERS];

	private final QuotaBucket[] exact = new QuotaBucket[CUSTOMERS];

	private final Map<BitSet, QuotaOwners> ownersOfView = new HashMap<>();

	private final List<double[]> admittedBySlot = new ArrayList<>();

	private final List<double[]> begunBySlot = new ArrayList<>();

	private final List<double[]> exactBySlot = new ArrayList<>();

	private long nowNanos = 1;

	private long sequence;

	long messages;

	long localDecisions;

	long requests;

	QuotaFleetModel(int size, boolean equalShares, long seed) {
		this.size = size;
		this.equalShares = equalShares;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.members = IntStream.range(0, size)
			.mapToObj((number) -> new Member(HostName.of("host-" + number), 1, Place.of("p" + number % PLACES),
					Endpoint.of("127.0.0.1", 1 + number)))
			.toList();
		this.routers = new Router[size];
		for (int i = 0; i < size; i++) {
			this.routers[i] = new Router(i);
			this.routers[i].start();
		}
		for (int c = 0; c < CUSTOMERS; c++) {
			long rate = (long) (usual(c) * HEADROOM);
			this.customers[c] = CustomerId.of("customer-" + c);
			this.quotas[c] = new CustomerQuota(rate, rate, PLAIN_TOKENS);
			this.factor[c] = 1;
			this.exact[c] = QuotaBucket.create(rate, this.nowNanos);
		}
	}

	private static double usual(int customer) {
		return (customer == 0) ? LARGE_TOKENS : SMALL_TOKENS;
	}

	double seconds() {
		return this.nowNanos / 1e9;
	}

	void factor(int customer, double value) {
		this.factor[customer] = value;
	}

	/** Kill some routers, which start again after the given time. */
	void kill(double share, double downSeconds) {
		IntStream.range(0, this.size).filter((i) -> this.random.nextDouble() < share).forEach((i) -> {
			this.routers[i].up = false;
			this.routers[i].startNanos = this.nowNanos + (long) (downSeconds * 1e9);
		});
	}

	/** Cut some routers off from all others but not from each other. */
	void partition(double share) {
		IntStream.range(0, this.size).forEach((i) -> this.routers[i].side = (this.random.nextDouble() < share) ? 1 : 0);
	}

	void heal() {
		IntStream.range(0, this.size).forEach((i) -> this.routers[i].side = 0);
	}

	/** Pause the process that most routers see as the owner of a customer. */
	void pauseOwner(int customer, double pauseSeconds) {
		HostName owner = this.routers[0].owners.candidates(this.customers[customer]).get(0);
		int index = Integer.parseInt(owner.value().substring("host-".length()));
		this.routers[index].pausedUntilNanos = this.nowNanos + (long) (pauseSeconds * 1e9);
	}

	private boolean running(int i) {
		return this.routers[i].up && this.nowNanos >= this.routers[i].pausedUntilNanos;
	}

	private boolean reachable(int i, int j) {
		return running(i) && running(j) && this.routers[i].side == this.routers[j].side;
	}

	void runUntil(double untilSeconds) {
		while (seconds() < untilSeconds) {
			this.nowNanos += TICK_NANOS;
			if (this.nowNanos / TICK_NANOS % 5 == 0) {
				this.admittedBySlot.add(new double[CUSTOMERS]);
				this.exactBySlot.add(new double[CUSTOMERS]);
				for (Router router : this.routers) {
					router.updateView();
				}
			}
			for (int c = 0; c < CUSTOMERS; c++) {
				arrivals(c);
			}
		}
	}

	private void arrivals(int c) {
		// Half of the tokens of a second are model requests of 1,685 to 5,055 tokens, the
		// requests of plain services are a third of all requests.
		double meanTokens = (2.0 * MODEL_TOKENS + PLAIN_TOKENS) / 3;
		double wave = 1 + 0.25 * Math.sin(2 * Math.PI * (seconds() / 11 + c / 16.0));
		double expected = usual(c) * this.factor[c] * wave / meanTokens * TICK_NANOS / 1e9;
		for (int n = poisson(expected); n > 0; n--) {
			long tokens = (this.random.nextInt(3) == 0) ? PLAIN_TOKENS
					: MODEL_TOKENS / 2 + this.random.nextInt(MODEL_TOKENS);
			request(c, chooseRouter(c), tokens);
		}
	}

	private int poisson(double mean) {
		double limit = Math.exp(-mean);
		int count = 0;
		for (double product = this.random.nextDouble(); product > limit; product *= this.random.nextDouble()) {
			count++;
		}
		return count;
	}

	// Most requests of a customer arrive in one place, which changes every 3 s, and
	// unevenly within it.
	private int chooseRouter(int c) {
		int hot = (int) (seconds() / 3 + c) % PLACES;
		for (int attempt = 0; attempt < 1000; attempt++) {
			double skewed = this.random.nextDouble() * this.random.nextDouble();
			int i = (int) (skewed * this.size);
			boolean chosen = i % PLACES == hot || this.random.nextDouble() < 0.1;
			if (chosen && this.routers[i].up && this.nowNanos - this.routers[i].startNanos > 500_000_000L) {
				return i;
			}
		}
		return -1;
	}

	private void request(int c, int router, long tokens) {
		if (router < 0 || !running(router)) {
			return;
		}
		this.requests++;
		QuotaQuestion question = new QuotaQuestion(this.customers[c], this.quotas[c], 1, tokens);
		this.exact[c].configure(this.quotas[c], 1, this.quotas[c].burstTokens(), this.nowNanos);
		if (this.exact[c].take(tokens, this.nowNanos) == 0) {
			this.exactBySlot.get(this.exactBySlot.size() - 1)[c] += tokens;
		}
		boolean granted = this.equalShares ? this.routers[router].equalShare(c, tokens)
				: this.routers[router].acquire(question);
		if (granted) {
			this.admittedBySlot.get(this.admittedBySlot.size() - 1)[c] += tokens;
			int slot = this.admittedBySlot.size() - 1;
			int begins = (slot / BEGIN_SLOTS + 1) * BEGIN_SLOTS;
			while (this.begunBySlot.size() <= begins) {
				this.begunBySlot.add(new double[CUSTOMERS]);
			}
			this.begunBySlot.get(begins)[c] += tokens;
		}
	}

	/** Largest tokens of a customer's begun requests in any window, by limit. */
	double largestWindow(QuotaTolerance tolerance) {
		int window = (int) (tolerance.windowSeconds() * SLOTS_PER_SECOND);
		double largest = 0;
		for (int c = 0; c < CUSTOMERS; c++) {
			double sum = 0;
			for (int slot = 0; slot < this.begunBySlot.size(); slot++) {
				sum += this.begunBySlot.get(slot)[c];
				sum -= (slot >= window) ? this.begunBySlot.get(slot - window)[c] : 0;
				largest = Math.max(largest, sum / tolerance.limit(this.quotas[c]));
			}
		}
		return largest;
	}

	/**
	 * Tokens that one exact bucket would have admitted but that were refused, by seconds,
	 * relative to the former.
	 */
	double wronglyRefused(double fromSeconds, double toSeconds) {
		double exactTokens = 0;
		double missing = 0;
		for (int c = 0; c < CUSTOMERS; c++) {
			for (int second = (int) fromSeconds; second < (int) toSeconds; second++) {
				double admitted = 0;
				double expected = 0;
				for (int slot = second * SLOTS_PER_SECOND; slot < (second + 1) * SLOTS_PER_SECOND
						&& slot < this.exactBySlot.size(); slot++) {
					admitted += this.admittedBySlot.get(slot)[c];
					expected += this.exactBySlot.get(slot)[c];
				}
				exactTokens += expected;
				missing += Math.max(0, expected - admitted);
			}
		}
		return missing / Math.max(1, exactTokens);
	}

	private final class Router {

		private final int index;

		private final HostName host;

		private boolean up = true;

		private int side;

		private long startNanos;

		private long pausedUntilNanos;

		private BitSet view;

		private long[] differsSinceNanos;

		private QuotaOwners owners;

		private FleetSize fleet;

		private QuotaOwner owner;

		private LocalShares local;

		private SilentRouters silent;

		private QuotaBucket[] shares;

		Router(int index) {
			this.index = index;
			this.host = QuotaFleetModel.this.members.get(index).host();
		}

		void start() {
			long now = QuotaFleetModel.this.nowNanos;
			this.up = true;
			this.startNanos = now;
			this.view = new BitSet();
			this.view.set(this.index);
			this.differsSinceNanos = new long[QuotaFleetModel.this.size];
			this.fleet = FleetSize.create(100, now);
			this.owner = QuotaOwner.create(QuotaTolerance.DEFAULT, this.fleet,
					(customer) -> this.owners.owns(customer, this.host));
			this.local = LocalShares.create(QuotaTolerance.DEFAULT, this.fleet, QuotaFleetModel.this.random);
			this.silent = SilentRouters.create();
			this.shares = new QuotaBucket[CUSTOMERS];
			this.owners = owners();
		}

		private QuotaOwners owners() {
			return QuotaFleetModel.this.ownersOfView.computeIfAbsent((BitSet) this.view.clone(),
					(seen) -> QuotaOwners.of(new MemberView(QuotaFleetModel.this.members.get(this.index),
							seen.stream().mapToObj(QuotaFleetModel.this.members::get).toList())));
		}

		void updateView() {
			long now = QuotaFleetModel.this.nowNanos;
			if (!this.up && now >= this.startNanos) {
				start();
			}
			if (!running(this.index)) {
				return;
			}
			boolean changed = false;
			for (int j = 0; j < QuotaFleetModel.this.size; j++) {
				boolean reachable = j == this.index || reachable(this.index, j);
				if (reachable == this.view.get(j)) {
					this.differsSinceNanos[j] = 0;
					continue;
				}
				if (this.differsSinceNanos[j] == 0) {
					this.differsSinceNanos[j] = now;
				}
				double delay = reachable ? 0.2 + 0.6 * pairRandom(j) : 1.8 + 0.7 * pairRandom(j);
				if (now - this.differsSinceNanos[j] >= delay * 1e9) {
					this.view.set(j, reachable);
					this.differsSinceNanos[j] = 0;
					changed = true;
				}
			}
			if (changed) {
				this.owners = owners();
				this.fleet.update(this.view.cardinality(), now);
				this.owner.membersChanged(now);
			}
		}

		private double pairRandom(int j) {
			return ((this.index * 31L + j) * 0x9E3779B97F4A7C15L >>> 40) / (double) (1 << 24);
		}

		boolean acquire(QuotaQuestion question) {
			long now = QuotaFleetModel.this.nowNanos;
			for (HostName candidate : this.owners.candidates(question.customer())) {
				int j = Integer.parseInt(candidate.value().substring("host-".length()));
				if (j == this.index) {
					return this.owner.decide(this.host, ++QuotaFleetModel.this.sequence, question, now) == 0;
				}
				if (this.silent.mayAsk(candidate, now)) {
					QuotaFleetModel.this.messages++;
					if (reachable(this.index, j)) {
						QuotaFleetModel.this.messages++;
						this.silent.recordAnswer(candidate);
						Router asked = QuotaFleetModel.this.routers[j];
						asked.fleet.recordReport(this.fleet.seen(now), now);
						return asked.owner.decide(this.host, ++QuotaFleetModel.this.sequence, question, now) == 0;
					}
					this.silent.recordSilence(candidate, now);
				}
			}
			QuotaFleetModel.this.localDecisions++;
			return this.local.decide(question, now) == 0;
		}

		boolean equalShare(int c, long tokens) {
			long now = QuotaFleetModel.this.nowNanos;
			CustomerQuota quota = QuotaFleetModel.this.quotas[c];
			double share = 1.0 / QuotaFleetModel.this.size;
			if (this.shares[c] == null) {
				this.shares[c] = QuotaBucket.create(quota.burstTokens() * share, now);
			}
			this.shares[c].configure(quota, share, Math.max(quota.burstTokens() * share, MODEL_TOKENS), now);
			return this.shares[c].take(tokens, now) == 0;
		}

	}

}
