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
 * Places model requests on engines by the expected time to the first event, from this
 * router's own outstanding work and the work that the other routers report.
 * <p>
 * It answers a load in which reading prompts is the bottleneck: a decode engine reads a
 * prompt itself as long as that costs little time, because it saves the move of the KV
 * cache; at a crest the prefill engines take the overflow. Not safe for use by several
 * threads.
 */
public final class SharedLoadPlacement {

	/** Choices that differ by less than this count as equal. */
	private static final double SPREAD_MILLIS = 15;

	/** Weight of a running stream against a new one, as an expected delay. */
	private static final double STREAM_MILLIS = 4;

	/** Share of an engine's KV cache that is left to the routers of its own region. */
	private static final double REMOTE_FILL_MARGIN = 0.12;

	/** Share of the allowed time that an expected first event may take. */
	private static final double DEADLINE_SHARE = 0.9;

	/** Shortest time after which a refused caller is asked to come back. */
	private static final long MIN_RETRY_AFTER_MILLIS = 200;

	private final EngineRates rates;

	private final String region;

	private final String place;

	private final Map<ServerName, OwnWork> own = new HashMap<>();

	private final ReportedWork others = ReportedWork.create();

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
	 * Creates a placement without any work.
	 * @param rates speeds of engines and paths
	 * @param region region of this router
	 * @param place place of this router
	 * @param random parts routers that choose at the same moment
	 * @return the placement
	 */
	public static SharedLoadPlacement create(EngineRates rates, String region, String place,
			UniformRandomProvider random) {
		return new SharedLoadPlacement(rates, region, place, random);
	}

	/**
	 * Sets who hears that this router's own work has changed.
	 * @param listener the listener; it must not block
	 */
	public void setWorkListener(Runnable listener) {
		this.workListener = listener;
	}

	/**
	 * Chooses engines for a request.
	 * @param engines the engines that the request may reach
	 * @param limits their size
	 * @param facts the request
	 * @param excluded engines that the request has tried
	 * @param mayMove false if the request must be read where it is generated
	 * @param fill share of an engine's KV cache that may be in use afterwards, at most 1
	 * @param remainingMillis time until the caller gives up
	 * @param nowNanos the monotonic time
	 * @return the choice
	 */
	public EngineChoice choose(Collection<ListedServer> engines, EngineLimits limits, RequestFacts facts,
			Set<ServerName> excluded, boolean mayMove, double fill, long remainingMillis, long nowNanos) {
		List<ListedServer> sound = candidates(engines, EngineStage.DECODE, excluded, nowNanos);
		if (sound.isEmpty()) {
			return new EngineChoice.None("no decode engine", MIN_RETRY_AFTER_MILLIS);
		}
		List<ListedServer> decoders = sound.stream()
			.filter((engine) -> hasRoom(engine, limits, facts, fill, nowNanos))
			.toList();
		if (decoders.isEmpty()) {
			return new EngineChoice.Full(sound.size());
		}
		List<Option> options = new ArrayList<>();
		for (ListedServer decode : decoders) {
			double millis = wholeMillis(decode, facts, nowNanos);
			options.add(new Option(new EngineChoice.Whole(decode, millis), millis,
					millis + remotePenalty(decode, this.region) + delayOfOthers(decode, facts, nowNanos) + spread()));
		}
		if (mayMove && facts.promptTokens() > 0) {
			options.addAll(splits(candidates(engines, EngineStage.PREFILL, excluded, nowNanos), decoders, limits, facts,
					nowNanos));
		}
		Option best = options.stream().min(Comparator.comparingDouble(Option::cost)).orElseThrow();
		if (best.millis() > remainingMillis * DEADLINE_SHARE) {
			return new EngineChoice.None("first event expected after " + Math.round(best.millis()) + " ms",
					Math.max(MIN_RETRY_AFTER_MILLIS, Math.round(best.millis() - remainingMillis * DEADLINE_SHARE)));
		}
		return best.choice();
	}

	private List<ListedServer> candidates(Collection<ListedServer> engines, EngineStage stage, Set<ServerName> excluded,
			long nowNanos) {
		List<ListedServer> of = engines.stream()
			.filter((engine) -> engine.stage() == stage && !excluded.contains(engine.name()))
			.toList();
		List<ListedServer> sound = of.stream()
			.filter((engine) -> !this.observations.avoided(engine.name(), nowNanos))
			.toList();
		return sound.isEmpty() ? of : sound;
	}

	private double wholeMillis(ListedServer decode, RequestFacts facts, long nowNanos) {
		double rate = this.rates.prefillTokensPerMilli() / this.rates.decodeSlowdown();
		return roundTrip(decode, this.region, this.place) + this.rates.setupMillis()
				+ (work(decode.name(), nowNanos).pendingTokens() + facts.promptTokens()) / rate
						* this.observations.slowness(decode.name(), nowNanos);
	}

	// Compares all pairs by the figures of their parts: what a pair costs beyond the sum
	// of its engines depends only on where they are, so one prefill engine is best for
	// all decode engines of a place.
	private List<Option> splits(List<ListedServer> prefills, List<ListedServer> decoders, EngineLimits limits,
			RequestFacts facts, long nowNanos) {
		Map<Place, List<ListedServer>> byPlace = decoders.stream()
			.collect(Collectors.groupingBy((decode) -> decode.server().place()));
		List<Option> options = new ArrayList<>();
		List<Part> reads = prefills.stream().map((prefill) -> readPart(prefill, facts, nowNanos)).toList();
		byPlace.forEach((at, there) -> {
			ListedServer any = there.get(0);
			Optional<Part> best = reads.stream()
				.map((read) -> read.movedTo(moveMillis(read.engine(), any, limits, facts),
						this.rates.transferPenaltyMillis() * (1 + distanceTo(read.engine(), any))))
				.min(Comparator.comparingDouble(Part::cost));
			best.ifPresent((read) -> there.forEach((decode) -> options.add(split(read, decode, nowNanos))));
		});
		return options;
	}

	private Part readPart(ListedServer prefill, RequestFacts facts, long nowNanos) {
		double millis = roundTrip(prefill, this.region, this.place) + this.rates.setupMillis()
				+ (work(prefill.name(), nowNanos).pendingTokens() + facts.promptTokens())
						/ this.rates.prefillTokensPerMilli() * this.observations.slowness(prefill.name(), nowNanos);
		return new Part(prefill, millis, millis + remotePenalty(prefill, this.region) + spread());
	}

	private double moveMillis(ListedServer prefill, ListedServer decode, EngineLimits limits, RequestFacts facts) {
		int distance = distanceTo(prefill, decode);
		return limits.transferMillis(facts.promptTokens()) * ((distance == 0) ? 1 : (distance == 1) ? 2 : 10)
				+ roundTrip(prefill, decode.server().region(), decode.server().place().value());
	}

	private Option split(Part read, ListedServer decode, long nowNanos) {
		EngineWork decoding = work(decode.name(), nowNanos);
		double rate = this.rates.prefillTokensPerMilli() / this.rates.decodeSlowdown();
		double busy = decoding.pendingTokens() / rate + decoding.requests() * STREAM_MILLIS;
		double there = roundTrip(decode, this.region, this.place) + this.rates.setupMillis()
				+ busy * this.observations.slowness(decode.name(), nowNanos);
		double millis = read.millis() + there;
		return new Option(new EngineChoice.Split(read.engine(), decode, millis), millis,
				read.cost() + there + remotePenalty(decode, this.region) + spread());
	}

	private static int distanceTo(ListedServer prefill, ListedServer decode) {
		return distance(prefill, decode.server().region(), decode.server().place().value());
	}

	// Tells whether an engine can take a request. Room on engines of other regions is
	// left to the routers there, whose view of them is fresher.
	private boolean hasRoom(ListedServer decode, EngineLimits limits, RequestFacts facts, double fill, long nowNanos) {
		return room(decode, limits, fill).admits(work(decode.name(), nowNanos), facts.kvTokens());
	}

	/**
	 * Returns the bounds of an engine for requests of this router.
	 * @param decode the engine
	 * @param limits its size
	 * @param fill share of its KV cache that may be in use, at most 1
	 * @return the bounds
	 */
	public EngineRoom room(ListedServer decode, EngineLimits limits, double fill) {
		double share = decode.server().region().equals(this.region) ? fill : fill - REMOTE_FILL_MARGIN;
		return new EngineRoom(Math.round(limits.kvTokens() * share), limits.slots());
	}

	/**
	 * Reserves room on an engine for a request of another router, if it has room.
	 * @param from the router
	 * @param engine the engine
	 * @param room bounds of the engine
	 * @param kvTokens tokens of KV cache that the request holds at most
	 * @param nowNanos the monotonic time
	 * @return true if the room is reserved
	 */
	public boolean reserve(HostName from, ServerName engine, EngineRoom room, long kvTokens, long nowNanos) {
		if (!room.admits(work(engine, nowNanos), kvTokens)) {
			return false;
		}
		this.others.reserved(from, engine, new EngineWork(0, 1, kvTokens), nowNanos);
		return true;
	}

	// What reading a prompt costs the streams of the same engine, which stand still.
	private double delayOfOthers(ListedServer decode, RequestFacts facts, long nowNanos) {
		double readMillis = facts.promptTokens() * this.rates.decodeSlowdown() / this.rates.prefillTokensPerMilli();
		return readMillis * work(decode.name(), nowNanos).requests();
	}

	private double spread() {
		return this.random.nextDouble() * SPREAD_MILLIS;
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
	 * Returns the work on an engine as far as this router knows.
	 * @param engine the engine
	 * @param nowNanos the monotonic time
	 * @return own work and the work of routers whose reports are fresh
	 */
	public EngineWork work(ServerName engine, long nowNanos) {
		OwnWork held = this.own.get(engine);
		EngineWork reported = this.others.on(engine, nowNanos);
		return (held != null) ? held.work().plus(reported) : reported;
	}

	/**
	 * Returns what other routers report of their work.
	 * @return the reports
	 */
	public ReportedWork others() {
		return this.others;
	}

	/**
	 * Returns this router's own outstanding work.
	 * @return the work by engine; engines without work are left out
	 */
	public Map<ServerName, EngineWork> ownWork() {
		Map<ServerName, EngineWork> work = new HashMap<>();
		this.own.forEach((engine, state) -> work.put(engine, state.work()));
		return work;
	}

	/**
	 * Notes that a prompt is to be read on an engine.
	 * @param engine the engine
	 * @param pendingTokens tokens that it reads, 0 if the KV cache comes from elsewhere
	 * @param kvTokens tokens of KV cache that the request holds at most
	 * @return the work, to be told what happens
	 */
	public Ticket started(ListedServer engine, long pendingTokens, long kvTokens) {
		Ticket ticket = new Ticket(engine.name(), pendingTokens, kvTokens);
		this.own.computeIfAbsent(engine.name(), (key) -> new OwnWork()).add(pendingTokens, 1, kvTokens);
		this.workListener.run();
		return ticket;
	}

	/**
	 * Notes how long an engine took in relation to what was expected.
	 * @param engine the engine
	 * @param expectedMillis the expected time
	 * @param actualMillis the time that it took
	 * @param nowNanos the monotonic time
	 */
	public void took(ServerName engine, double expectedMillis, double actualMillis, long nowNanos) {
		this.observations.took(engine, expectedMillis, actualMillis, nowNanos);
	}

	/**
	 * Notes that an engine did its work.
	 * @param engine the engine
	 */
	public void succeeded(ServerName engine) {
		this.observations.succeeded(engine);
	}

	/**
	 * Notes that an engine failed a request.
	 * @param engine the engine
	 * @param nowNanos the monotonic time
	 */
	public void failed(ServerName engine, long nowNanos) {
		this.observations.failed(engine, nowNanos);
	}

	/**
	 * Forgets what was observed of an engine, which was started again or is gone.
	 * @param engine the engine
	 */
	public void forget(ServerName engine) {
		this.observations.forget(engine);
	}

	private record Option(EngineChoice choice, double millis, double cost) {
	}

	// A prefill engine with the time until it has read a prompt, then until the prompt
	// has
	// also been moved.
	private record Part(ListedServer engine, double millis, double cost) {

		Part movedTo(double moveMillis, double penaltyMillis) {
			return new Part(this.engine, this.millis + moveMillis, this.cost + moveMillis + penaltyMillis);
		}

	}

	/**
	 * Work of one request on one engine. Its methods may be called several times.
	 */
	public final class Ticket {

		private final ServerName engine;

		private final long kvTokens;

		private long pendingTokens;

		private boolean ended;

		Ticket(ServerName engine, long pendingTokens, long kvTokens) {
			this.engine = engine;
			this.pendingTokens = pendingTokens;
			this.kvTokens = kvTokens;
		}

		/**
		 * Notes that the prompt has been read.
		 */
		public void read() {
			OwnWork work = SharedLoadPlacement.this.own.get(this.engine);
			if (work != null && this.pendingTokens > 0) {
				work.add(-this.pendingTokens, 0, 0);
				SharedLoadPlacement.this.workListener.run();
			}
			this.pendingTokens = 0;
		}

		/**
		 * Notes that the engine no longer works on the request.
		 */
		public void end() {
			read();
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
