package io.balsamlane.core.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Places model requests on engines by the expected time to the first event, based on this
 * router's own outstanding work and the work reported by the other routers.
 * <p>
 * Designed for workloads in which prefill is the bottleneck: a decode engine runs the
 * prefill itself while that costs little time, because this avoids transferring the KV
 * cache; during load peaks the prefill engines take the overflow. Not thread-safe.
 */
public final class SharedLoadPlacement {

	/**
	 * Upper bound of the random jitter in costs, below which options are considered
	 * equal.
	 */
	private static final double TIE_BREAK_JITTER_MILLIS = 15;

	/** Expected delay of a new stream for each stream that runs on the decode engine. */
	private static final double DELAY_PER_STREAM_MILLIS = 4;

	/**
	 * Share of an engine's KV cache that is reserved for routers of the engine's region.
	 */
	private static final double REMOTE_UTILIZATION_MARGIN = 0.12;

	/** Share of the remaining time within which the first event must be expected. */
	private static final double DEADLINE_SHARE = 0.9;

	/** Minimum retry delay reported for rejected requests. */
	private static final long MIN_RETRY_AFTER_MILLIS = 200;

	private final EngineRates rates;

	private final String region;

	private final String place;

	private final Map<ServerName, OwnWork> own = new HashMap<>();

	private final ReportedWork reportedWork = ReportedWork.create();

	private final EngineObservations observations = new EngineObservations();

	private final UniformRandomProvider random;

	private Runnable workListener = () -> {
	};

	private SharedLoadPlacement(EngineRates rates, String region, String place, UniformRandomProvider random) {
		this.rates = rates;
		this.region = region;
		this.place = place;
		this.random = random;
	}

	/**
	 * Create a placement without outstanding work.
	 * @param rates performance estimates for engines and network paths
	 * @param region region of this router
	 * @param place place of this router
	 * @param random source of the jitter that keeps concurrent routers from selecting the
	 * same engine
	 * @return the placement
	 */
	public static SharedLoadPlacement create(EngineRates rates, String region, String place,
			UniformRandomProvider random) {
		return new SharedLoadPlacement(rates, region, place, random);
	}

	/**
	 * Set the listener that is notified when this router's own work changes.
	 * @param listener the listener; it must not block
	 */
	public void setWorkListener(Runnable listener) {
		this.workListener = listener;
	}

	/**
	 * Select the engines for a request.
	 * @param engines the engines that are available to the request
	 * @param limits capacity of the engines
	 * @param metadata metadata of the request
	 * @param excluded engines on which the request has been attempted
	 * @param allowDisaggregation false if prefill must run on the decode engine
	 * @param maxUtilization maximum share of an engine's KV cache that may be in use with
	 * the request, at most 1
	 * @param remainingMillis time until the caller's deadline
	 * @param nowNanos the monotonic time
	 * @return the choice
	 */
	public EngineChoice choose(Collection<ListedServer> engines, EngineLimits limits, RequestMetadata metadata,
			Set<ServerName> excluded, boolean allowDisaggregation, double maxUtilization, long remainingMillis,
			long nowNanos) {
		List<ListedServer> healthy = candidates(engines, EngineStage.DECODE, excluded, nowNanos);
		if (healthy.isEmpty()) {
			return new EngineChoice.NoEngine("no decode engine", MIN_RETRY_AFTER_MILLIS);
		}
		List<ListedServer> decoders = healthy.stream()
			.filter((engine) -> hasCapacity(engine, limits, metadata, maxUtilization, nowNanos))
			.toList();
		if (decoders.isEmpty()) {
			return new EngineChoice.Full(healthy.size());
		}
		List<Option> options = new ArrayList<>();
		for (ListedServer decode : decoders) {
			double millis = colocatedMillis(decode, metadata, nowNanos);
			options.add(new Option(new EngineChoice.Colocated(decode, millis), millis,
					millis + remotePenalty(decode, this.region) + delayToRunningStreams(decode, metadata, nowNanos)
							+ jitterMillis()));
		}
		// An engine that has failed may be unable to fetch the KV cache of a prefill.
		List<ListedServer> proven = decoders.stream()
			.filter((engine) -> !this.observations.isOnTrial(engine.name(), nowNanos))
			.toList();
		if (allowDisaggregation && metadata.promptTokens() > 0) {
			options.addAll(disaggregatedOptions(candidates(engines, EngineStage.PREFILL, excluded, nowNanos), proven,
					limits, metadata, nowNanos));
		}
		Option best = options.stream().min(Comparator.comparingDouble(Option::cost)).orElseThrow();
		if (best.millis() > remainingMillis * DEADLINE_SHARE) {
			return new EngineChoice.NoEngine("first event expected after " + Math.round(best.millis()) + " ms",
					Math.max(MIN_RETRY_AFTER_MILLIS, Math.round(best.millis() - remainingMillis * DEADLINE_SHARE)));
		}
		return best.choice();
	}

	/**
	 * Choose another decode engine for a prompt whose KV cache exists already.
	 * @param engines the usable engines
	 * @param limits capacity of the engines
	 * @param metadata the request
	 * @param prefill the engine that holds the KV cache
	 * @param excluded engines not to use
	 * @param maxUtilization share of an engine's KV cache that may be occupied
	 * @param nowNanos the monotonic time
	 * @return the engine with the shortest transfer, empty if none has free capacity
	 */
	public Optional<ListedServer> chooseDecode(Collection<ListedServer> engines, EngineLimits limits,
			RequestMetadata metadata, ListedServer prefill, Set<ServerName> excluded, double maxUtilization,
			long nowNanos) {
		return candidates(engines, EngineStage.DECODE, excluded, nowNanos).stream()
			.filter((engine) -> hasCapacity(engine, limits, metadata, maxUtilization, nowNanos))
			.min(Comparator.comparingDouble((engine) -> transferMillis(prefill, engine, limits, metadata)
					+ delayToRunningStreams(engine, metadata, nowNanos)));
	}

	private List<ListedServer> candidates(Collection<ListedServer> engines, EngineStage stage, Set<ServerName> excluded,
			long nowNanos) {
		List<ListedServer> ofStage = engines.stream()
			.filter((engine) -> engine.stage() == stage && !excluded.contains(engine.name()))
			.toList();
		List<ListedServer> healthy = ofStage.stream()
			.filter((engine) -> !this.observations.isAvoided(engine.name(), nowNanos)
					&& !trialInProgress(engine.name(), nowNanos))
			.toList();
		return healthy.isEmpty() ? ofStage : healthy;
	}

	// The work of a crashed engine has ended, so it seems idle and would receive all
	// waiting requests at once.
	private boolean trialInProgress(ServerName engine, long nowNanos) {
		return this.own.containsKey(engine) && this.observations.isOnTrial(engine, nowNanos);
	}

	private double colocatedMillis(ListedServer decode, RequestMetadata metadata, long nowNanos) {
		double rate = this.rates.prefillTokensPerMilli() / this.rates.decodeSlowdown();
		return roundTrip(decode, this.region, this.place) + this.rates.setupMillis()
				+ (work(decode.name(), nowNanos).pendingTokens() + metadata.promptTokens()) / rate
						* this.observations.slowdown(decode.name(), nowNanos);
	}

	// Finds the best pairs without evaluating each of them: the cost of a pair beyond
	// the sum of its engines depends only on their locations, so the same prefill
	// engine is best for all decode engines of a place.
	private List<Option> disaggregatedOptions(List<ListedServer> prefills, List<ListedServer> decoders,
			EngineLimits limits, RequestMetadata metadata, long nowNanos) {
		Map<Place, List<ListedServer>> byPlace = decoders.stream()
			.collect(Collectors.groupingBy((decode) -> decode.server().place()));
		List<Option> options = new ArrayList<>();
		List<PrefillOption> prefillOptions = prefills.stream()
			.map((prefill) -> prefillOption(prefill, metadata, nowNanos))
			.toList();
		byPlace.forEach((at, there) -> {
			ListedServer any = there.get(0);
			Optional<PrefillOption> best = prefillOptions.stream()
				.map((prefill) -> prefill.withTransfer(transferMillis(prefill.engine(), any, limits, metadata),
						this.rates.transferPenaltyMillis() * (1 + distanceTo(prefill.engine(), any))))
				.min(Comparator.comparingDouble(PrefillOption::cost));
			best.ifPresent(
					(prefill) -> there.forEach((decode) -> options.add(disaggregated(prefill, decode, nowNanos))));
		});
		return options;
	}

	private PrefillOption prefillOption(ListedServer prefill, RequestMetadata metadata, long nowNanos) {
		double millis = roundTrip(prefill, this.region, this.place) + this.rates.setupMillis()
				+ (work(prefill.name(), nowNanos).pendingTokens() + metadata.promptTokens())
						/ this.rates.prefillTokensPerMilli() * this.observations.slowdown(prefill.name(), nowNanos);
		return new PrefillOption(prefill, millis, millis + remotePenalty(prefill, this.region) + jitterMillis());
	}

	private double transferMillis(ListedServer prefill, ListedServer decode, EngineLimits limits,
			RequestMetadata metadata) {
		int distance = distanceTo(prefill, decode);
		return limits.transferMillis(metadata.promptTokens()) * ((distance == 0) ? 1 : (distance == 1) ? 2 : 10)
				+ roundTrip(prefill, decode.server().region(), decode.server().place().value());
	}

	private Option disaggregated(PrefillOption prefill, ListedServer decode, long nowNanos) {
		EngineWork decoding = work(decode.name(), nowNanos);
		double rate = this.rates.prefillTokensPerMilli() / this.rates.decodeSlowdown();
		double busy = decoding.pendingTokens() / rate + decoding.requests() * DELAY_PER_STREAM_MILLIS;
		double there = roundTrip(decode, this.region, this.place) + this.rates.setupMillis()
				+ busy * this.observations.slowdown(decode.name(), nowNanos);
		double millis = prefill.millis() + there;
		return new Option(new EngineChoice.Disaggregated(prefill.engine(), decode, millis), millis,
				prefill.cost() + there + remotePenalty(decode, this.region) + jitterMillis());
	}

	private static int distanceTo(ListedServer prefill, ListedServer decode) {
		return distance(prefill, decode.server().region(), decode.server().place().value());
	}

	// On engines of other regions a margin is left to the routers of those regions,
	// whose view of the work is more recent.
	private boolean hasCapacity(ListedServer decode, EngineLimits limits, RequestMetadata metadata,
			double maxUtilization, long nowNanos) {
		return admissionLimits(decode, limits, maxUtilization).admits(work(decode.name(), nowNanos),
				metadata.kvTokens());
	}

	/**
	 * Return the admission limits of an engine for requests of this router.
	 * @param decode the engine
	 * @param limits capacity of the engine
	 * @param maxUtilization maximum share of the engine's KV cache that may be in use, at
	 * most 1
	 * @return the limits
	 */
	public AdmissionLimits admissionLimits(ListedServer decode, EngineLimits limits, double maxUtilization) {
		double share = decode.server().region().equals(this.region) ? maxUtilization
				: maxUtilization - REMOTE_UTILIZATION_MARGIN;
		return new AdmissionLimits(Math.round(limits.kvTokens() * share), limits.slots());
	}

	/**
	 * Reserve capacity on an engine for a request of another router, if the engine admits
	 * it.
	 * @param from the router
	 * @param engine the engine
	 * @param admission admission limits of the engine
	 * @param kvTokens number of KV cache tokens to reserve for the request
	 * @param nowNanos the monotonic time
	 * @return true if the capacity is reserved
	 */
	public boolean reserve(HostName from, ServerName engine, AdmissionLimits admission, long kvTokens, long nowNanos) {
		if (!admission.admits(work(engine, nowNanos), kvTokens)) {
			return false;
		}
		this.reportedWork.addReservation(from, engine, new EngineWork(0, 1, kvTokens), nowNanos);
		return true;
	}

	// Prefill on a decode engine stalls all streams that run on it.
	private double delayToRunningStreams(ListedServer decode, RequestMetadata metadata, long nowNanos) {
		double prefillMillis = metadata.promptTokens() * this.rates.decodeSlowdown()
				/ this.rates.prefillTokensPerMilli();
		return prefillMillis * work(decode.name(), nowNanos).requests();
	}

	private double jitterMillis() {
		return this.random.nextDouble() * TIE_BREAK_JITTER_MILLIS;
	}

	private double remotePenalty(ListedServer engine, String from) {
		return engine.server().region().equals(from) ? 0 : this.rates.remotePenaltyMillis();
	}

	private static int distance(ListedServer engine, String region, String place) {
		if (!engine.server().region().equals(region)) {
			return 2;
		}
		return engine.server().place().value().equals(place) ? 0 : 1;
	}

	private double roundTrip(ListedServer engine, String fromRegion, String fromPlace) {
		return switch (distance(engine, fromRegion, fromPlace)) {
			case 0 -> 0;
			case 1 -> this.rates.placeRoundTripMillis();
			default -> this.rates.regionRoundTripMillis();
		};
	}

	/**
	 * Return the work on an engine that is known to this router.
	 * @param engine the engine
	 * @param nowNanos the monotonic time
	 * @return this router's own work and the work of routers whose reports have not
	 * expired
	 */
	public EngineWork work(ServerName engine, long nowNanos) {
		OwnWork ownWork = this.own.get(engine);
		EngineWork reported = this.reportedWork.workOn(engine, nowNanos);
		return (ownWork != null) ? ownWork.work().plus(reported) : reported;
	}

	/**
	 * Return the expected time until an engine starts the prefill of a new request.
	 * @param engine the engine
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds, 0 if no prefill is outstanding
	 */
	public double queueMillis(ListedServer engine, long nowNanos) {
		double rate = (engine.stage() == EngineStage.DECODE)
				? this.rates.prefillTokensPerMilli() / this.rates.decodeSlowdown() : this.rates.prefillTokensPerMilli();
		return work(engine.name(), nowNanos).pendingTokens() / rate
				* this.observations.slowdown(engine.name(), nowNanos);
	}

	/**
	 * Return the work that other routers report.
	 * @return the reported work
	 */
	public ReportedWork reportedWork() {
		return this.reportedWork;
	}

	/**
	 * Return this router's own outstanding work.
	 * @return the work by engine; engines without work are left out
	 */
	public Map<ServerName, EngineWork> ownWork() {
		Map<ServerName, EngineWork> work = new HashMap<>();
		this.own.forEach((engine, state) -> work.put(engine, state.work()));
		return work;
	}

	/**
	 * Assign a request to an engine.
	 * @param engine the engine
	 * @param pendingTokens prompt tokens to prefill, 0 if the KV cache is transferred to
	 * the engine
	 * @param kvTokens number of KV cache tokens to reserve for the request
	 * @return the assignment, to be notified of the progress of the request
	 */
	public Assignment assign(ListedServer engine, long pendingTokens, long kvTokens) {
		Assignment assignment = new Assignment(engine.name(), pendingTokens, kvTokens);
		this.own.computeIfAbsent(engine.name(), (key) -> new OwnWork()).add(pendingTokens, 1, kvTokens);
		this.workListener.run();
		return assignment;
	}

	/**
	 * Record the actual duration of an engine's work relative to the expected one.
	 * @param engine the engine
	 * @param expectedMillis the expected duration
	 * @param actualMillis the actual duration
	 * @param nowNanos the monotonic time
	 */
	public void recordDuration(ServerName engine, double expectedMillis, double actualMillis, long nowNanos) {
		this.observations.recordDuration(engine, expectedMillis, actualMillis, nowNanos);
	}

	/**
	 * Record that an engine completed its work.
	 * @param engine the engine
	 */
	public void recordSuccess(ServerName engine) {
		this.observations.recordSuccess(engine);
	}

	/**
	 * Record that a request failed on an engine.
	 * @param engine the engine
	 * @param nowNanos the monotonic time
	 */
	public void recordFailure(ServerName engine, long nowNanos) {
		this.observations.recordFailure(engine, nowNanos);
	}

	/**
	 * Discard the observations of an engine that was restarted or removed.
	 * @param engine the engine
	 */
	public void forget(ServerName engine) {
		this.observations.forget(engine);
	}

	private record Option(EngineChoice choice, double millis, double cost) {
	}

	// A prefill engine with the expected time until the prefill has completed, or, with
	// transfer, until the KV cache has been transferred.
	private record PrefillOption(ListedServer engine, double millis, double cost) {

		PrefillOption withTransfer(double transferMillis, double penaltyMillis) {
			return new PrefillOption(this.engine, this.millis + transferMillis,
					this.cost + transferMillis + penaltyMillis);
		}

	}

	/**
	 * Tracks the work of one request on one engine. All methods are idempotent.
	 */
	public final class Assignment {

		private final ServerName engine;

		private final long kvTokens;

		private long pendingTokens;

		private boolean ended;

		Assignment(ServerName engine, long pendingTokens, long kvTokens) {
			this.engine = engine;
			this.pendingTokens = pendingTokens;
			this.kvTokens = kvTokens;
		}

		/**
		 * Record that the prefill has completed.
		 */
		public void completePrefill() {
			OwnWork work = SharedLoadPlacement.this.own.get(this.engine);
			if (work != null && this.pendingTokens > 0) {
				work.add(-this.pendingTokens, 0, 0);
				SharedLoadPlacement.this.workListener.run();
			}
			this.pendingTokens = 0;
		}

		/**
		 * Record that the engine has stopped working on the request.
		 */
		public void end() {
			completePrefill();
			if (this.ended) {
				return;
			}
			this.ended = true;
			OwnWork work = SharedLoadPlacement.this.own.get(this.engine);
			work.add(0, -1, -this.kvTokens);
			if (work.requests == 0) {
				SharedLoadPlacement.this.own.remove(this.engine);
			}
			SharedLoadPlacement.this.workListener.run();
		}

	}

	private static final class OwnWork {

		private long pendingTokens;

		private int requests;

		private long kvTokens;

		void add(long pending, int count, long kv) {
			this.pendingTokens += pending;
			this.requests += count;
			this.kvTokens += kv;
		}

		EngineWork work() {
			return new EngineWork(this.pendingTokens, this.requests, this.kvTokens);
		}

	}

}
