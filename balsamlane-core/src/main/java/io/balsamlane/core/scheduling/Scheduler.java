package io.balsamlane.core.scheduling;

import java.util.ArrayList;
import java.util.List;

import io.balsamlane.core.scheduling.Placement.Outcome;
import io.balsamlane.schema.ActiveGrant;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Scheduler of one domain, a model in a place: grants pairs of engines to requests and
 * accounts for their memory.
 * <p>
 * Methods return the replies that have become due, for any request; a request without a
 * reply waits. Times are monotonic nanoseconds. Not safe for use by several threads.
 */
public final class Scheduler {

	/** Failed placements after which a pass over the queue ends. */
	private static final int MAX_FAILED_PLACEMENTS = 4;

	/** Times that others may pass a waiting request that did not fit. */
	private static final int MAX_BYPASSES = 16;

	private static final long COMPARE_NANOS = 100_000_000L;

	/** Time that a refused request needs to be granted and answered in another place. */
	private static final long OTHER_PLACE_NANOS = 60_000_000L;

	private static final int MIN_RETRY_MILLIS = 100;

	private static final int MAX_RETRY_MILLIS = 5000;

	private final SchedulerParameters parameters;

	private final UniformRandomProvider random;

	private final EngineTable engines;

	private final Placement placement;

	private final FirstTokenMargin margin = new FirstTokenMargin();

	private final Ledger ledger = new Ledger(this.margin);

	private final CallerTable callers;

	private final CallerState model = new CallerState();

	private final WaitingQueue queue;

	private List<GrantReply> replies = new ArrayList<>();

	private long pass;

	private long comparedNanos;

	private int decodeMemoryPieces;

	private double queuedNanos;

	private Scheduler(SchedulerParameters parameters, UniformRandomProvider random, long nowNanos) {
		this.parameters = parameters;
		this.random = random;
		this.engines = new EngineTable(parameters.unknownEngine());
		this.placement = new Placement(parameters, this.engines, random, nowNanos);
		this.callers = new CallerTable(parameters.maxCallers());
		this.queue = new WaitingQueue(parameters.maxQueued());
		this.comparedNanos = nowNanos;
	}

	/**
	 * Creates a scheduler without engines.
	 * @param parameters limits and time constants
	 * @param random breaks ties and spreads retries
	 * @param nowNanos present time
	 * @return the scheduler
	 */
	public static Scheduler create(SchedulerParameters parameters, UniformRandomProvider random, long nowNanos) {
		return new Scheduler(parameters, random, nowNanos);
	}

	/**
	 * Replaces the engines of the domain; grants on engines that left stay accounted for.
	 * @param facts the engines
	 * @param nowNanos present time
	 */
	public void setEngines(List<EngineFacts> facts, long nowNanos) {
		this.engines.set(facts, nowNanos);
		countMemory();
	}

	private void countMemory() {
		this.decodeMemoryPieces = 0;
		for (Engine engine : this.engines.decode()) {
			this.decodeMemoryPieces += engine.memoryPieces;
		}
	}

	/**
	 * Replaces the callers' quotas.
	 * @param limits callers with their limits
	 * @param nowNanos present time
	 */
	public void setCallers(List<Caller> limits, long nowNanos) {
		this.callers.setLimits(limits, nowNanos);
	}

	/**
	 * Takes in a load report.
	 * @param load the report
	 * @param nowNanos present time
	 */
	public void observeLoad(EngineLoad load, long nowNanos) {
		Engine engine = this.engines.find(load.engine());
		if (engine != null) {
			engine.apply(load);
			engine.observeUsed(load.usedPieces(), nowNanos);
			countMemory();
		}
	}

	/**
	 * Takes in changes of an engine's prefix cache.
	 * @param engine name of the engine
	 * @param events the changes, oldest first
	 */
	public void observeCache(String engine, List<CacheEvent> events) {
		Engine found = this.engines.find(engine);
		if (found != null) {
			this.placement.observeCache(found, events);
		}
	}

	/**
	 * Asks for engines. A repeated request gets the reply again, or goes on waiting.
	 * @param request the request
	 * @param nowNanos present time
	 * @return the replies that are due
	 */
	public List<GrantReply> request(GrantRequest request, long nowNanos) {
		String key = key(request.getRequestId(), request.getAttempt());
		Grant known = this.ledger.find(key);
		Waiting waiting = this.queue.find(key);
		if (known != null) {
			known.renewedNanos = nowNanos;
			this.replies.add(known.reply);
		}
		else if (waiting != null) {
			waiting.askedNanos = nowNanos;
		}
		else {
			admit(key, request, nowNanos);
		}
		return due();
	}

	private void admit(String key, GrantRequest request, long nowNanos) {
		CallerState caller = this.callers.get(request.getCaller(), nowNanos);
		int charge = request.getPromptTokens() + caller.estimate(this.model, request.getMaxTokens());
		if (request.getAttempt() <= 1) {
			long wait = Math.max(caller.requests.waitNanos(1, nowNanos), caller.tokens.waitNanos(charge, nowNanos));
			if (wait > 0) {
				refuse(request, "quota-exceeded", "the caller is at its quota", wait);
				return;
			}
		}
		int remainingMillis = (request.getFirstTokenRemainingMillis() > 0) ? request.getFirstTokenRemainingMillis()
				: this.parameters.firstTokenMillis();
		Waiting arriving = new Waiting(key, request, caller, nowNanos + remainingMillis * 1_000_000L, cost(request),
				nowNanos);
		if (this.ledger.size() >= this.parameters.maxGrants()) {
			refuse(request, "overloaded", "the scheduler holds its most grants", COMPARE_NANOS);
			return;
		}
		Outcome outcome = choose(arriving, nowNanos);
		if (outcome == Outcome.PLACED && goesFirst(arriving)) {
			grant(arriving, nowNanos);
		}
		else if (outcome == Outcome.BUSY || outcome == Outcome.PLACED) {
			enqueue(arriving, nowNanos);
		}
		else {
			refuse(arriving, outcome);
		}
	}

	private boolean goesFirst(Waiting arriving) {
		return this.queue.size() == 0 || this.queue.aheadNanos(arriving.caller, arriving.request.getPriority(),
				arriving.costNanos) < arriving.costNanos;
	}

	private Outcome choose(Waiting entry, long nowNanos) {
		return this.placement.choose(entry.request, decodePieces(entry), entry.deadlineNanos - this.margin.nanos(),
				this.queuedNanos, nowNanos);
	}

	private int decodePieces(Waiting entry) {
		GrantRequest request = entry.request;
		int length = this.parameters.reserveEstimate() ? entry.caller.estimate(this.model, request.getMaxTokens())
				: request.getMaxTokens();
		return this.placement.pieces(request.getPromptTokens() + length);
	}

	// The time for which the request occupies the whole domain: its share of the prefill
	// engines or of the decode memory, whichever is scarcer.
	private double cost(GrantRequest request) {
		Engine[] prefill = this.engines.prefill();
		if (prefill.length == 0 || this.decodeMemoryPieces == 0) {
			return 1;
		}
		double compute = request.getPromptTokens() * prefill[0].prefillNanosPerToken / prefill.length;
		double memory = this.placement.pieces(request.getPromptTokens() + request.getMaxTokens())
				* this.ledger.meanHoldNanos() / this.decodeMemoryPieces;
		return Math.max(1, Math.max(compute, memory));
	}

	private void enqueue(Waiting arriving, long nowNanos) {
		double ahead = this.queue.aheadNanos(arriving.caller, arriving.request.getPriority(), arriving.costNanos);
		arriving.serviceNanos = this.placement.serviceNanos;
		if (this.placement.bestNanos + ahead + this.margin.nanos() > latestNanos(arriving)) {
			refuse(arriving.request, "deadline", "the queue is too long for the first-token target", (long) ahead);
			return;
		}
		if (this.queue.full()) {
			Waiting victim = this.queue.victim(arriving);
			if (victim != arriving) {
				dequeue(victim);
			}
			refuse(victim.request, "overloaded", "the queue is full", (long) this.queuedNanos);
			if (victim == arriving) {
				return;
			}
		}
		this.queue.add(arriving);
		this.queuedNanos += arriving.costNanos;
	}

	private void dequeue(Waiting entry) {
		this.queue.remove(entry);
		this.queuedNanos = (this.queue.size() == 0) ? 0 : this.queuedNanos - entry.costNanos;
	}

	private static long latestNanos(Waiting entry) {
		return entry.deadlineNanos - ((entry.request.getOtherPlaces() > 0) ? OTHER_PLACE_NANOS : 0);
	}

	private void grant(Waiting entry, long nowNanos) {
		GrantRequest request = entry.request;
		Placement chosen = this.placement;
		int pieces = decodePieces(entry);
		GrantReply reply = GrantReply.newBuilder()
			.setRequestId(request.getRequestId())
			.setAttempt(request.getAttempt())
			.setGranted(true)
			.setPrefillServer(chosen.prefill.name)
			.setDecodeServer(chosen.decode.name)
			.setReservedPieces(pieces)
			.setExpectedPrefillMillis((int) (chosen.prefillNanos / 1_000_000))
			.setReason((chosen.prefillTokens < request.getPromptTokens()) ? "earliest first token, prefix cached"
					: "earliest first token")
			.build();
		Grant grant = new Grant(entry.key, request, reply, entry.caller);
		grant.prefill = chosen.prefill;
		grant.decode = chosen.decode;
		grant.prefillPieces = chosen.pieces(request.getPromptTokens());
		grant.decodePieces = pieces;
		grant.grantedNanos = nowNanos;
		grant.prefillNanos = chosen.prefillNanos;
		grant.nominalPrefillNanos = chosen.prefillTokens * chosen.prefill.prefillNanosPerToken;
		grant.transferNanos = chosen.transferNanos;
		grant.expectedFirstTokenNanos = chosen.firstTokenNanos;
		grant.prefilling = true;
		grant.probesPrefill = grant.prefill.straggler;
		grant.probesDecode = grant.decode.straggler;
		grant.prefill.probes += grant.probesPrefill ? 1 : 0;
		grant.decode.probes += grant.probesDecode ? 1 : 0;
		grant.chargedTokens = request.getPromptTokens() + entry.caller.estimate(this.model, request.getMaxTokens());
		if (request.getAttempt() <= 1) {
			entry.caller.requests.take(1);
		}
		entry.caller.tokens.take(grant.chargedTokens);
		this.callers.charge(entry.caller, entry.costNanos);
		chosen.granted(request, nowNanos);
		this.ledger.add(grant, nowNanos);
		this.replies.add(reply);
	}

	private void refuse(Waiting entry, Outcome outcome) {
		if (outcome == Outcome.INFEASIBLE) {
			refuse(entry.request, "deadline", "the first-token target is shorter than the prefill", 0);
		}
		else if (outcome == Outcome.TOO_LARGE) {
			refuse(entry.request, "too-large", "no decode engine has memory for the prompt and max_tokens", 0);
		}
		else {
			refuse(entry.request, "no-engine", "no engine is left that may run this request", COMPARE_NANOS * 10);
		}
	}

	private void refuse(GrantRequest request, String kind, String reason, long waitNanos) {
		long millis = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, waitNanos / 1_000_000));
		this.replies.add(GrantReply.newBuilder()
			.setRequestId(request.getRequestId())
			.setAttempt(request.getAttempt())
			.setRefusalKind(kind)
			.setReason(reason)
			.setRetryAfterMillis((int) (millis * (1 + this.random.nextDouble())))
			.build());
	}

	/**
	 * Takes in how a grant goes on. An update of an unknown grant ends its waiting, or is
	 * ignored.
	 * @param update the news
	 * @param nowNanos present time
	 * @return the replies that are due
	 */
	public List<GrantReply> update(GrantUpdate update, long nowNanos) {
		String key = key(update.getRequestId(), update.getAttempt());
		Grant grant = this.ledger.find(key);
		boolean ends = update.getKind() == GrantUpdate.Kind.RELEASED || update.getKind() == GrantUpdate.Kind.FAILED;
		if (grant == null) {
			Waiting waiting = this.queue.find(key);
			if (waiting != null && ends) {
				dequeue(waiting);
			}
			return due();
		}
		grant.renewedNanos = nowNanos;
		switch (update.getKind()) {
			case PREFILL_DONE -> this.ledger.prefillDone(grant, nowNanos, true);
			case FIRST_TOKEN -> this.ledger.firstToken(grant, nowNanos);
			case PROGRESS -> this.ledger.betweenTokens(grant, update.getBetweenTokensMicros());
			case RELEASED, FAILED -> finish(grant, update, nowNanos);
			default -> {
			}
		}
		probeAfterRecovery(grant);
		serve(nowNanos);
		return due();
	}

	private void probeAfterRecovery(Grant grant) {
		if ((grant.probesPrefill && grant.prefill.recovering()) || (grant.probesDecode && grant.decode.recovering())) {
			this.placement.probeSoon();
		}
	}

	private void finish(Grant grant, GrantUpdate update, long nowNanos) {
		Engine failed = this.engines.find(update.getServer());
		if (update.getKind() == GrantUpdate.Kind.FAILED && failed != null) {
			failed.observeFailure(nowNanos);
		}
		if (update.getKind() == GrantUpdate.Kind.RELEASED && update.getGeneratedTokens() > 0) {
			grant.caller.observeLength(update.getGeneratedTokens());
			this.model.observeLength(update.getGeneratedTokens());
		}
		grant.caller.tokens
			.take(grant.request.getPromptTokens() + update.getGeneratedTokens() - (double) grant.chargedTokens);
		this.ledger.finished(grant, update, nowNanos);
	}

	/**
	 * Extends the life of a grant.
	 * @param requestId id of the request
	 * @param attempt number of the attempt
	 * @param nowNanos present time
	 * @return false if the grant is not known and must be registered
	 */
	public boolean renew(String requestId, int attempt, long nowNanos) {
		Grant grant = this.ledger.find(key(requestId, attempt));
		if (grant != null) {
			grant.renewedNanos = nowNanos;
		}
		return grant != null;
	}

	/**
	 * Adopts a grant that another scheduler or an entry router made.
	 * @param active the grant
	 * @param nowNanos present time
	 */
	public void register(ActiveGrant active, long nowNanos) {
		GrantReply reply = active.getReply();
		String key = key(reply.getRequestId(), reply.getAttempt());
		Grant known = this.ledger.find(key);
		if (known != null && sameEngines(known.reply, reply)) {
			known.renewedNanos = nowNanos;
			return;
		}
		if (known != null) {
			// The entry router did not see the grant in time and picked other engines.
			this.ledger.remove(known, nowNanos);
		}
		if (!reply.getGranted() || this.ledger.size() >= this.parameters.maxGrants()) {
			return;
		}
		Waiting waiting = this.queue.find(key);
		if (waiting != null) {
			dequeue(waiting);
		}
		Grant grant = new Grant(key, active.getRequest(), reply,
				this.callers.get(active.getRequest().getCaller(), nowNanos));
		grant.prefill = this.engines.find(reply.getPrefillServer());
		grant.decode = this.engines.find(reply.getDecodeServer());
		grant.grantedNanos = nowNanos - active.getAgeMillis() * 1_000_000L;
		grant.decodePieces = reply.getReservedPieces();
		grant.chargedTokens = active.getRequest().getPromptTokens();
		long remainingNanos = reply.getExpectedPrefillMillis() * 1_000_000L - (nowNanos - grant.grantedNanos);
		if (grant.prefill != null && remainingNanos > 0) {
			grant.prefilling = true;
			grant.prefillNanos = remainingNanos;
			grant.nominalPrefillNanos = remainingNanos;
			grant.prefillPieces = this.placement.pieces(active.getRequest().getPromptTokens());
		}
		this.ledger.add(grant, nowNanos);
	}

	private static boolean sameEngines(GrantReply one, GrantReply other) {
		return one.getPrefillServer().equals(other.getPrefillServer())
				&& one.getDecodeServer().equals(other.getDecodeServer());
	}

	/**
	 * Ends what has expired, looks for stragglers and serves the queue. To be called
	 * every few milliseconds.
	 * @param nowNanos present time
	 * @return the replies that are due
	 */
	public List<GrantReply> tick(long nowNanos) {
		this.ledger.expire(this.parameters.grantMillis() * 1_000_000L, nowNanos, (grant) -> {
		});
		for (int i = this.queue.size() - 1; i >= 0; i--) {
			Waiting entry = this.queue.at(i);
			if (nowNanos - entry.askedNanos > this.parameters.askMillis() * 1_000_000L) {
				dequeue(entry);
			}
			else if (nowNanos + entry.serviceNanos - latestNanos(entry) > 0) {
				dequeue(entry);
				refuse(entry.request, "deadline", "no engine became free before the first-token target",
						(long) this.queuedNanos);
			}
		}
		if (nowNanos - this.comparedNanos >= COMPARE_NANOS) {
			this.comparedNanos = nowNanos;
			this.ledger.observeOverdue(nowNanos);
			this.engines.compareSpeeds();
		}
		serve(nowNanos);
		return due();
	}

	private void serve(long nowNanos) {
		int failed = 0;
		Waiting blocked = null;
		this.pass++;
		while (failed < MAX_FAILED_PLACEMENTS && this.ledger.size() < this.parameters.maxGrants()) {
			Waiting entry = this.queue.first(this.pass);
			if (entry == null) {
				return;
			}
			entry.triedPass = this.pass;
			Outcome outcome = choose(entry, nowNanos);
			if (outcome == Outcome.PLACED) {
				dequeue(entry);
				grant(entry, nowNanos);
				if (blocked != null) {
					blocked.bypasses++;
				}
			}
			else if (outcome == Outcome.BUSY) {
				failed++;
				blocked = (blocked != null) ? blocked : entry;
				if (blocked.bypasses >= MAX_BYPASSES) {
					return;
				}
			}
			else {
				dequeue(entry);
				refuse(entry, outcome);
			}
		}
	}

	private List<GrantReply> due() {
		if (this.replies.isEmpty()) {
			return List.of();
		}
		List<GrantReply> result = this.replies;
		this.replies = new ArrayList<>();
		return result;
	}

	/**
	 * Returns the present state for metrics and checks.
	 * @return a view of this scheduler, valid until its next call
	 */
	public SchedulerView view() {
		return new SchedulerView(this.engines, this.ledger, this.queue, this.callers);
	}

	static String key(String requestId, int attempt) {
		return requestId + "." + attempt;
	}

}
