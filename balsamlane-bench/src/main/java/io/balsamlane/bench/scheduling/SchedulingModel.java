package io.balsamlane.bench.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

import io.balsamlane.core.model.Place;
import io.balsamlane.core.scheduling.EngineDescriptor;
import io.balsamlane.core.scheduling.EngineLoad;
import io.balsamlane.core.scheduling.EnginePolicy;
import io.balsamlane.core.scheduling.Scheduler;
import io.balsamlane.core.scheduling.SchedulerParameters;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Discrete-event simulation of one data centre, in which the real {@link Scheduler} or a
 * baseline policy assigns requests to engines that follow the rules of the stand-in
 * engine. Its results are simulated, not measured.
 */
public final class SchedulingModel {

	/** One-way latency between an entry router and the scheduler or an engine. */
	private static final long MESSAGE_NANOS = 1_500_000L;

	private static final long TICK_NANOS = 10_000_000L;

	private static final int MAX_ATTEMPTS = 3;

	private static final int PREFIXES = 8;

	private static final int BLOCKS = ModelPlan.PREFIX_TOKENS / 256;

	private final ModelPlan plan;

	private final UniformRandomProvider random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::nanos).thenComparingLong(Event::number));

	private final Map<String, ModelEngine> engines = new LinkedHashMap<>();

	private final Map<String, Integer> outstanding = new HashMap<>();

	private final Map<String, ModelRequest> waiting = new HashMap<>();

	private final List<String> prefillNames;

	private final List<String> decodeNames;

	private final EnginePolicy baseline;

	private final Scheduler scheduler;

	private final Histogram firstTokenMicros = new Histogram(3);

	private final Histogram totalMicros = new Histogram(3);

	private long nowNanos;

	private long eventNumber;

	private long prefilledTokens;

	private long wastedTokens;

	private int offered;

	private int served;

	private int refused;

	private int late;

	private int swingOffered;

	private int swingServed;

	private SchedulingModel(ModelPlan plan, long seed) {
		this.plan = plan;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.prefillNames = createEngines("prefill-", plan.prefillEngines());
		this.decodeNames = createEngines("decode-", plan.decodeEngines());
		boolean scheduled = plan.policy().equals("scheduler");
		this.baseline = scheduled ? null : EnginePolicy.of(plan.policy(), this.random);
		this.scheduler = Scheduler.create(SchedulerParameters.ofDefaults(), this.random, 0);
		this.scheduler.setEngines(this.engines.keySet().stream().map(SchedulingModel::descriptor).toList(), 0);
		this.engines.values().forEach(this::reportLoad);
	}

	/**
	 * Run the model.
	 * @param plan the parameters of the run
	 * @param seed seed of arrival times, lengths and tie-breaking
	 * @return the results
	 */
	public static ModelResult run(ModelPlan plan, long seed) {
		return new SchedulingModel(plan, seed).run();
	}

	private List<String> createEngines(String prefix, int count) {
		List<String> names = IntStream.range(0, count).mapToObj((number) -> prefix + number).toList();
		names.forEach((name) -> this.engines.put(name, new ModelEngine(name, this.plan.capacity())));
		return names;
	}

	private static EngineDescriptor descriptor(String name) {
		boolean prefill = name.startsWith("prefill");
		return new EngineDescriptor(name, prefill ? "prefill" : "decode",
				prefill ? EngineRole.PREFILL : EngineRole.DECODE, "model", Place.of("place"), "region");
	}

	private void reportLoad(ModelEngine engine) {
		this.scheduler.observeLoad(new EngineLoad(engine.name, engine.capacity.memoryPieces(), engine.usedPieces,
				engine.capacity.prefillTokensPerSecond(), engine.capacity.kvBytesPerToken(),
				engine.capacity.linkBytesPerSecond()), this.nowNanos);
	}

	private ModelResult run() {
		long endNanos = (long) (this.plan.seconds() * 1e9);
		scheduleArrival(endNanos);
		scheduleAt(TICK_NANOS, () -> tick(endNanos + 10_000_000_000L));
		scheduleAt(endNanos / 4, this::slowDown);
		while (!this.events.isEmpty()) {
			Event event = this.events.remove();
			this.nowNanos = event.nanos();
			event.action().run();
		}
		return new ModelResult(this.offered, this.served, this.refused, this.late,
				(double) this.wastedTokens / Math.max(1, this.prefilledTokens), this.swingOffered, this.swingServed,
				this.firstTokenMicros.getValueAtPercentile(99) / 1e3, this.totalMicros.getValueAtPercentile(99) / 1e3);
	}

	private void scheduleAt(long nanos, Runnable action) {
		this.events.add(new Event(Math.max(nanos, this.nowNanos), this.eventNumber++, action));
	}

	private void scheduleAfter(long nanos, Runnable action) {
		scheduleAt(this.nowNanos + nanos, action);
	}

	private void slowDown() {
		slowDown(this.prefillNames);
		slowDown(this.decodeNames);
	}

	private void slowDown(List<String> names) {
		names.stream()
			.limit((long) (names.size() * this.plan.slowShare()))
			.forEach((name) -> this.engines.get(name).slowFactor = 5);
	}

	private void tick(long untilNanos) {
		if (this.baseline == null) {
			this.waiting.values()
				.forEach((request) -> deliverReplies(this.scheduler.request(grantRequest(request), this.nowNanos)));
			deliverReplies(this.scheduler.tick(this.nowNanos));
		}
		if (this.nowNanos < untilNanos) {
			scheduleAfter(TICK_NANOS, () -> tick(untilNanos));
		}
	}

	private void scheduleArrival(long endNanos) {
		boolean swing = this.nowNanos >= endNanos * 2 / 5 && this.nowNanos < endNanos * 3 / 5;
		double perSecond = this.plan.capacityPerSecond() * this.plan.load() * (swing ? this.plan.swingFactor() : 1);
		long gapNanos = (long) (-Math.log(1 - this.random.nextDouble()) / perSecond * 1e9);
		scheduleAfter(gapNanos, () -> {
			if (this.nowNanos >= endNanos) {
				return;
			}
			scheduleArrival(endNanos);
			this.offered++;
			this.swingOffered += swing ? 1 : 0;
			ModelRequest request = new ModelRequest("r" + this.offered, "caller" + this.random.nextInt(4),
					this.nowNanos, ModelPlan.PREFIX_TOKENS + ownTokens(), this.random.nextInt(PREFIXES),
					this.random.nextInt(ModelPlan.MIN_ANSWER_TOKENS, ModelPlan.MAX_ANSWER_TOKENS + 1), swing);
			request.router = this.random.nextInt(this.plan.routers());
			requestGrant(request);
		});
	}

	private int ownTokens() {
		double normal = Math.sqrt(-2 * Math.log(1 - this.random.nextDouble()))
				* Math.cos(2 * Math.PI * this.random.nextDouble());
		return (int) Math.min(8 * ModelPlan.OWN_TOKENS,
				ModelPlan.OWN_TOKENS * Math.exp(ModelPlan.OWN_TOKENS_SIGMA * normal));
	}

	private GrantRequest grantRequest(ModelRequest request) {
		long deadlineNanos = request.arrivalNanos + (long) (ModelPlan.FIRST_TOKEN_SECONDS * 1e9);
		GrantRequest.Builder message = GrantRequest.newBuilder()
			.setRequestId(request.id)
			.setAttempt(request.attempt)
			.setCaller(request.caller)
			.setPromptTokens(request.tokens)
			.setMaxTokens(ModelPlan.MAX_TOKENS)
			.setBetweenTokensMillis((int) (ModelPlan.BETWEEN_TOKENS_SECONDS * 1000))
			.setFirstTokenRemainingMillis((int) Math.max(1, (deadlineNanos - this.nowNanos) / 1_000_000));
		IntStream.range(0, BLOCKS).forEach((block) -> message.addPrefixHashes(request.prefix * 1000L + block + 1));
		return message.build();
	}

	private void requestGrant(ModelRequest request) {
		if (this.baseline != null) {
			String prefill = this.baseline.choose(this.prefillNames, (name) -> outstanding(request, name));
			String decode = this.baseline.choose(this.decodeNames, (name) -> outstanding(request, name));
			adjustOutstanding(request, prefill, 1);
			adjustOutstanding(request, decode, 1);
			handleReply(request,
					GrantReply.newBuilder().setGranted(true).setPrefillServer(prefill).setDecodeServer(decode).build());
			return;
		}
		scheduleAfter(MESSAGE_NANOS, () -> {
			this.waiting.put(request.id, request);
			deliverReplies(this.scheduler.request(grantRequest(request), this.nowNanos));
		});
	}

	private int outstanding(ModelRequest request, String name) {
		return this.outstanding.getOrDefault(request.router + name, 0);
	}

	private void adjustOutstanding(ModelRequest request, String name, int change) {
		this.outstanding.merge(request.router + name, change, Integer::sum);
	}

	private void deliverReplies(List<GrantReply> replies) {
		for (GrantReply reply : new ArrayList<>(replies)) {
			scheduleAfter(0, () -> {
				ModelRequest request = this.waiting.remove(reply.getRequestId());
				if (request != null) {
					scheduleAfter(MESSAGE_NANOS, () -> handleReply(request, reply));
				}
			});
		}
	}

	private void handleReply(ModelRequest request, GrantReply reply) {
		if (!reply.getGranted()) {
			this.refused++;
			return;
		}
		request.grant = reply;
		ModelEngine engine = this.engines.get(reply.getPrefillServer());
		scheduleAfter(MESSAGE_NANOS, () -> {
			if (!engine.tryReserve(request.prefillPieces())) {
				scheduleAfter(MESSAGE_NANOS, () -> handleFailure(request, engine));
				return;
			}
			this.prefilledTokens += request.tokens;
			scheduleAt(engine.prefill(request, this.nowNanos),
					() -> scheduleAfter(2 * MESSAGE_NANOS, () -> handlePrefilled(request)));
		});
	}

	private void handlePrefilled(ModelRequest request) {
		sendUpdate(request, GrantUpdate.Kind.PREFILL_DONE, 0, "");
		ModelEngine prefill = this.engines.get(request.grant.getPrefillServer());
		ModelEngine decode = this.engines.get(request.grant.getDecodeServer());
		if (!decode.tryReserve(request.decodePieces())) {
			prefill.usedPieces -= request.prefillPieces();
			this.wastedTokens += request.tokens;
			scheduleAfter(MESSAGE_NANOS, () -> handleFailure(request, decode));
			return;
		}
		scheduleAt(prefill.export(request, this.nowNanos), () -> {
			prefill.usedPieces -= request.prefillPieces();
			decode.batch.add(request);
			if (!decode.stepping) {
				decode.stepping = true;
				scheduleAfter(decode.stepNanos(), () -> step(decode));
			}
		});
	}

	private void step(ModelEngine engine) {
		for (ModelRequest request : new ArrayList<>(engine.batch)) {
			if (request.generatedTokens < request.answerTokens) {
				request.generatedTokens++;
				if (request.generatedTokens == 1) {
					request.firstTokenNanos = this.nowNanos;
					sendUpdate(request, GrantUpdate.Kind.FIRST_TOKEN, 0, "");
				}
			}
			else {
				engine.batch.remove(request);
				engine.usedPieces -= request.decodePieces();
				handleFinished(request);
			}
		}
		engine.stepping = !engine.batch.isEmpty();
		if (engine.stepping) {
			scheduleAfter(engine.stepNanos(), () -> step(engine));
		}
	}

	private void handleFinished(ModelRequest request) {
		double firstSeconds = (request.firstTokenNanos - request.arrivalNanos) / 1e9;
		double betweenSeconds = (this.nowNanos - request.firstTokenNanos) / 1e9 / request.answerTokens;
		boolean withinTargets = firstSeconds <= ModelPlan.FIRST_TOKEN_SECONDS
				&& betweenSeconds <= ModelPlan.BETWEEN_TOKENS_SECONDS;
		this.served += withinTargets ? 1 : 0;
		this.late += withinTargets ? 0 : 1;
		this.swingServed += (withinTargets && request.inSwing) ? 1 : 0;
		this.firstTokenMicros.recordValue((long) (firstSeconds * 1e6));
		this.totalMicros.recordValue((this.nowNanos - request.arrivalNanos) / 1000);
		sendUpdate(request, GrantUpdate.Kind.RELEASED, (int) (betweenSeconds * 1e6), "");
	}

	private void handleFailure(ModelRequest request, ModelEngine engine) {
		sendUpdate(request, GrantUpdate.Kind.FAILED, 0, engine.name);
		if (++request.attempt > MAX_ATTEMPTS) {
			this.late++;
			return;
		}
		requestGrant(request);
	}

	private void sendUpdate(ModelRequest request, GrantUpdate.Kind kind, int betweenMicros, String server) {
		GrantReply grant = request.grant;
		int attempt = request.attempt;
		int generatedTokens = request.generatedTokens;
		if (this.baseline != null) {
			if (kind == GrantUpdate.Kind.RELEASED || kind == GrantUpdate.Kind.FAILED) {
				adjustOutstanding(request, grant.getPrefillServer(), -1);
				adjustOutstanding(request, grant.getDecodeServer(), -1);
			}
			return;
		}
		scheduleAfter(MESSAGE_NANOS,
				() -> deliverReplies(this.scheduler.update(GrantUpdate.newBuilder()
					.setRequestId(request.id)
					.setAttempt(attempt)
					.setKind(kind)
					.setServer(server)
					.setGeneratedTokens(generatedTokens)
					.setBetweenTokensMicros(betweenMicros)
					.build(), this.nowNanos)));
	}

	private record Event(long nanos, long number, Runnable action) {
	}

}
