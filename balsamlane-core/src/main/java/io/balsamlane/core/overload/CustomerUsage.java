package io.balsamlane.core.overload;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import io.balsamlane.core.model.CustomerId;

/**
 * Work that customers have requested, as a recent rate and as a usual rate. Not
 * thread-safe.
 * <p>
 * Both rates are exponentially decayed sums of tokens. A customer's excess, the quotient
 * of the two, is a share of capacity weighted by the customer's usual load, as in
 * weighted fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queuing", SIGCOMM 1996). A
 * large customer within its usual load is thus not treated as one that sends a multiple
 * of it.
 */
public final class CustomerUsage {

	/** Bound of the table, equal to the bound of configured customers. */
	private static final int MAX_CUSTOMERS = 4096;

	/** Half-life of the recent rate; load peaks of one customer last 5 to 11 s. */
	private static final double RECENT_HALF_LIFE_SECONDS = 1.5;

	/** Half-life of the usual rate; several times the longest peak of one customer. */
	private static final double USUAL_HALF_LIFE_SECONDS = 45;

	/**
	 * Number of average requests added to both sums, so that a few requests of a small
	 * customer do not look like a multiple of its usual load.
	 */
	private static final double PRIOR_REQUESTS = 2;

	/** Number of requests over which the average size is taken. */
	private static final double AVERAGE_REQUESTS = 64;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Map<CustomerId, Sums> customers = new HashMap<>();

	private BiConsumer<CustomerId, Long> listener = (customer, tokens) -> {
	};

	private double averageTokens;

	private long firstNanos;

	private CustomerUsage() {
	}

	/**
	 * Create an instance without usage.
	 * @return the instance
	 */
	public static CustomerUsage create() {
		return new CustomerUsage();
	}

	/**
	 * Set the listener that is notified of the requests recorded on this router.
	 * @param next receives the customer and the number of tokens of each request
	 */
	public void setListener(BiConsumer<CustomerId, Long> next) {
		this.listener = next;
	}

	/**
	 * Record a request that this router received, whether it is served or not.
	 * @param customer the customer that sent it
	 * @param tokens number of tokens that it needs
	 * @param nowNanos the monotonic time
	 */
	public void record(Optional<CustomerId> customer, long tokens, long nowNanos) {
		if (this.averageTokens == 0) {
			this.averageTokens = tokens;
		}
		this.averageTokens += (tokens - this.averageTokens) / AVERAGE_REQUESTS;
		customer.ifPresent((known) -> {
			add(known, tokens, nowNanos);
			this.listener.accept(known, tokens);
		});
	}

	/**
	 * Record requests that other routers received.
	 * @param customer the customer that sent them
	 * @param tokens number of tokens that they need
	 * @param nowNanos the monotonic time
	 */
	public void recordReported(CustomerId customer, long tokens, long nowNanos) {
		add(customer, tokens, nowNanos);
	}

	private void add(CustomerId customer, long tokens, long nowNanos) {
		if (this.customers.isEmpty()) {
			this.firstNanos = nowNanos;
		}
		if (this.customers.size() >= MAX_CUSTOMERS && !this.customers.containsKey(customer)) {
			this.customers.entrySet()
				.stream()
				.min(Comparator.comparingLong((entry) -> entry.getValue().lastNanos - nowNanos))
				.ifPresent((oldest) -> this.customers.remove(oldest.getKey()));
		}
		this.customers.computeIfAbsent(customer, (id) -> new Sums()).add(tokens, nowNanos);
	}

	/**
	 * Return by which factor a customer's share of the recent requests exceeds its share
	 * of the usual ones.
	 * @param customer the customer
	 * @param nowNanos the monotonic time
	 * @return about 1 for a customer within its usual load, or if nothing is known
	 */
	public double excess(Optional<CustomerId> customer, long nowNanos) {
		Sums sums = customer.map(this.customers::get).orElse(null);
		if (sums == null) {
			return 1;
		}
		// Both sums start at 0, so the usual one is scaled to the time that it has seen.
		double seenSeconds = (nowNanos - this.firstNanos) / NANOS_PER_SECOND;
		double windowRatio = window(RECENT_HALF_LIFE_SECONDS, seenSeconds)
				/ Math.max(1e-9, window(USUAL_HALF_LIFE_SECONDS, seenSeconds));
		double prior = PRIOR_REQUESTS * this.averageTokens;
		return (sums.recent(nowNanos) + prior) / (sums.usual(nowNanos) * windowRatio + prior);
	}

	/**
	 * Return the average number of tokens of a request.
	 * @return the average, 0 before the first request
	 */
	public long averageTokens() {
		return Math.round(this.averageTokens);
	}

	/**
	 * Return the number of tokens recorded for a customer so far.
	 * @param customer the customer
	 * @return the number, without decay
	 */
	public long recordedTokens(CustomerId customer) {
		Sums sums = this.customers.get(customer);
		return (sums != null) ? sums.total : 0;
	}

	private static double window(double halfLifeSeconds, double seenSeconds) {
		return halfLifeSeconds * (1 - Math.pow(0.5, seenSeconds / halfLifeSeconds));
	}

	private static final class Sums {

		private long total;

		private double recent;

		private double usual;

		private long lastNanos;

		void add(long tokens, long nowNanos) {
			this.total += tokens;
			this.recent = recent(nowNanos) + tokens;
			this.usual = usual(nowNanos) + tokens;
			this.lastNanos = nowNanos;
		}

		double recent(long nowNanos) {
			return this.recent * decay(RECENT_HALF_LIFE_SECONDS, nowNanos);
		}

		double usual(long nowNanos) {
			return this.usual * decay(USUAL_HALF_LIFE_SECONDS, nowNanos);
		}

		private double decay(double halfLifeSeconds, long nowNanos) {
			return Math.pow(0.5, (nowNanos - this.lastNanos) / (halfLifeSeconds * NANOS_PER_SECOND));
		}

	}

}
