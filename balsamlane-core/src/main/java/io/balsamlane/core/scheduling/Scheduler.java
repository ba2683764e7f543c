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
 * Scheduler of one domain: grants a prefill engine and a decode engine to each request
 * and accounts for their memory.
 * <p>
 * Methods return all replies that have become available, for any request; a request
 * without a reply is queued. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class Scheduler {

	/** Number of failed placements after which a pass over the queue ends. */
	private static final int MAX_FAILED_PLACEMENTS = 4;

	/**
	 * Number of requests that may be granted ahead of a queued request that did not fit.
	 */
	private static final int MAX_BYPASSES = 16;

	private static final long COMPARISON_INTERVAL_NANOS = 100_000_000L;

	/**
	 * Time required to get a grant and a first token in another place after a refusal.
	 */
	private static final long OTHER_PLACE_RESERVE_NANOS = 60_000_000L;

	private static final int MIN_RETRY_MILLIS = 100;

	private static final int MAX_RETRY_MILLIS = 5000;

	private final SchedulerParameters parameters;

	private final UniformRandomProvider random;

	private final EngineTable engines;

	private final Placement placement;

	private final FirstTokenMargin margin = new FirstTokenMargin();

	private final GrantRegistry grants = new GrantRegistry(this.margin);

	private final CallerTable callers;

	private final CallerState allCallers = new CallerState();

	private final WaitingQueue queue;

	private List<GrantReply> replies = new ArrayList<>();

	private long pass;

	private long lastComparisonNanos;

	private int decodeMemoryPieces;

	private double queuedNanos;

	private Scheduler(SchedulerParameters parameters, UniformRandomProvider random, long nowNanos) {
		this.parameters = parameters;
		this.random = random;
		this.engines = new EngineTable(parameters.defaultEngineLoad());
		this.placement = new Placement(parameters, this.engines, random, nowNanos);
		this.callers = new CallerTable(parameters.maxCallers());
		this.queue = new WaitingQueue(parameters.maxQueued());
		this.lastComparisonNanos = nowNanos;
	}

	/**
	 * Create a scheduler without engines.
	 * @param parameters limits and time constants
	 * @param random source of randomness for tie-breaking and retry jitter
	 * @param nowNanos current time
	 * @return the scheduler
	 */
	public static Scheduler create(SchedulerParameters parameters, UniformRandomProvider random, long nowNanos) {
		return new Scheduler(parameters, random, nowNanos);
	}

	/**
	 * Replace the engines of the domain. Grants on removed engines remain accounted for.
	 * @param descriptors descriptors of the engines
	 * @param nowNanos current time
	 */
	public void setEngines(List<EngineDescriptor> descriptors, long nowNanos) {
		this.engines.replaceAll(descriptors, nowNanos);
		updateDecodeMemory();
	}

	private void updateDecodeMemory() {
		this.decodeMemoryPieces = 0;
		for (Engine engine : this.engines.decode()) {
			this.decodeMemoryPieces += engine.memoryPieces;
		}
	}

	/**
	 * Replace the quotas of the callers.
	 * @param limits callers with their limits
	 * @param nowNanos current time
	 */
	public void setCallers(List<Caller> limits, long nowNanos) {
		this.callers.setLimits(limits, nowNanos);
	}

	/**
	 * Process a load report of an engine.
	 * @param load the report
	 * @param nowNanos current time
	 */
	public void observeLoad(EngineLoad load, long nowNanos) {
		Engine engine = this.engines.find(load.engine());
		if (engine != null) {
			engine.apply(load);
			engine.observeUsed(load.usedPieces(), nowNanos);
			updateDecodeMemory();
		}
	}

	/**
	 * Process changes to the prefix cache of an engine.
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
	 * Request engines. A repeated request receives the same reply again, or remains
	 * queued.
	 * @param request the request
	 * @param nowNanos current time
	 * @return the available replies
	 */
	public List<GrantReply> request(GrantRequest request, long nowNanos) {
		String key = key(request.getRequestId(), request.getAttempt());
		Grant known = this.grants.find(key);
		WaitingRequest waiting = this.queue.find(key);
		if (known != null) {
			known.renewedNanos = nowNanos;
			this.replies.add(known.reply);
		}
		else if (waiting != null) {
			waiting.lastPolledNanos = nowNanos;
		}
		else {
			admit(key, request, nowNanos);
		}
		return takeReplies();
	}

	private void admit(String key, GrantRequest request, long nowNanos) {
		CallerState caller = this.callers.getOrCreate(request.getCaller(), nowNanos);
		int charge = request.getPromptTokens() + caller.estimate(this.allCallers, request.getMaxTokens());
		if (request.getAttempt() <= 1) {
			long wait = Math.max(caller.requests.waitNanos(1, nowNanos), caller.tokens.waitNanos(charge, nowNanos));
			if (wait > 0) {
				refuse(request, "quota-exceeded", "the caller is at its quota", wait);
				return;
			}
		}
		int remainingMillis = (request.getFirstTokenRemainingMillis() > 0) ? request.getFirstTokenRemainingMillis()
				: this.parameters.firstTokenMillis();
		WaitingRequest arriving = new WaitingRequest(key, request, caller, nowNanos + remainingMillis * 1_000_000L,
				cost(request), nowNanos);
		if (this.grants.size() >= this.parameters.maxGrants()) {
			refuse(request, "overloaded", "the scheduler holds its most grants", COMPARISON_INTERVAL_NANOS);
			return;
		}
		Outcome outcome = choose(arriving, nowNanos);
		if (outcome == Outcome.PLACED && precedesQueue(arriving)) {
			grant(arriving, nowNanos);
		}
		else if (outcome == Outcome.BUSY || outcome == Outcome.PLACED) {
			enqueue(arriving, nowNanos);
		}
		else {
			refuse(arriving, outcome);
		}
	}

	private boolean precedesQueue(WaitingRequest arriving) {
		return this.queue.size() == 0 || this.queue.queuedAheadNanos(arriving.caller, arriving.request.getPriority(),
				arriving.costNanos) < arriving.costNanos;
	}

	private Outcome choose(WaitingRequest entry, long nowNanos) {
		return this.placement.choose(entry.request, decodePieces(entry), entry.deadlineNanos - this.margin.nanos(),
				this.queuedNanos, nowNanos);
	}

	private int decodePieces(WaitingRequest entry) {
		GrantRequest request = entry.request;
		int length = this.parameters.reserveEstimatedLength()
				? entry.caller.estimate(this.allCallers, request.getMaxTokens()) : request.getMaxTokens();
		return this.placement.piecesFor(request.getPromptTokens() + length);
	}

	// Returns the time for which the request occupies the whole domain: its share of the
	// prefill engines or of the decode memory, whichever is scarcer.
	private double cost(GrantRequest request) {
		Engine[] prefill = this.engines.prefill();
		if (prefill.length == 0 || this.decodeMemoryPieces == 0) {
			return 1;
		}
		double compute = request.getPromptTokens() * prefill[0].prefillNanosPerToken / prefill.length;
		double memory = this.placement.piecesFor(request.getPromptTokens() + request.getMaxTokens())
				* this.grants.meanHoldTimeNanos() / this.decodeMemoryPieces;
		return Math.max(1, Math.max(compute, memory));
	}

	private void enqueue(WaitingRequest arriving, long nowNanos) {
		double ahead = this.queue.queuedAheadNanos(arriving.caller, arriving.request.getPriority(), arriving.costNanos);
		arriving.serviceNanos = this.placement.serviceNanos;
		if (this.placement.earliestFirstTokenNanos + ahead + this.margin.nanos() > latestNanos(arriving)) {
			refuse(arriving.request, "deadline", "the queue is too long for the first-token target", (long) ahead);
			return;
		}
		if (this.queue.full()) {
			WaitingRequest victim = this.queue.victim(arriving);
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

	private void dequeue(WaitingRequest entry) {
		this.queue.remove(entry);
		this.queuedNanos = (this.queue.size() == 0) ? 0 : this.queuedNanos - entry.costNanos;
	}

	private static long latestNanos(WaitingRequest entry) {
		return entry.deadlineNanos - ((entry.request.getOtherPlaces() > 0) ? OTHER_PLACE_RESERVE_NANOS : 0);
	}

	private void grant(WaitingRequest entry, long nowNanos) {
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
		grant.prefillPieces = chosen.piecesFor(request.getPromptTokens());
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
		grant.chargedTokens = request.getPromptTokens()
				+ entry.caller.estimate(this.allCallers, request.getMaxTokens());
		if (request.getAttempt() <= 1) {
			entry.caller.requests.take(1);
		}
		entry.caller.tokens.take(grant.chargedTokens);
		this.callers.charge(entry.caller, entry.costNanos);
		chosen.recordGrant(request, nowNanos);
		this.grants.add(grant, nowNanos);
		this.replies.add(reply);
	}

	private void refuse(WaitingRequest entry, Outcome outcome) {
		if (outcome == Outcome.INFEASIBLE) {
			refuse(entry.request, "deadline", "the first-token target is shorter than the prefill", 0);
		}
		else if (outcome == Outcome.TOO_LARGE) {
			refuse(entry.request, "too-large", "no decode engine has memory for the prompt and max_tokens", 0);
		}
		else {
			refuse(entry.request, "no-engine", "no engine is left that may run this request",
					COMPARISON_INTERVAL_NANOS * 10);
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
	 * Process an update of a grant. An update that ends an unknown grant removes its
	 * request from the queue; other updates of unknown grants are ignored.
	 * @param update the update
	 * @param nowNanos current time
	 * @return the available replies
	 */
	public List<GrantReply> update(GrantUpdate update, long nowNanos) {
		String key = key(update.getRequestId(), update.getAttempt());
		Grant grant = this.grants.find(key);
		boolean ends = update.getKind() == GrantUpdate.Kind.RELEASED || update.getKind() == GrantUpdate.Kind.FAILED;
		if (grant == null) {
			WaitingRequest waiting = this.queue.find(key);
			if (waiting != null && ends) {
				dequeue(waiting);
			}
			return takeReplies();
		}
		grant.renewedNanos = nowNanos;
		switch (update.getKind()) {
			case PREFILL_DONE -> this.grants.recordPrefillDone(grant, nowNanos, true);
			case FIRST_TOKEN -> this.grants.recordFirstToken(grant, nowNanos);
			case PROGRESS -> this.grants.observeTimeBetweenTokens(grant, update.getBetweenTokensMicros());
			case RELEASED, FAILED -> finish(grant, update, nowNanos);
			default -> {
			}
		}
		probeAfterRecovery(grant);
		serveQueue(nowNanos);
		return takeReplies();
	}

	private void probeAfterRecovery(Grant grant) {
		if ((grant.probesPrefill && grant.prefill.recovering()) || (grant.probesDecode && grant.decode.recovering())) {
			this.placement.requestProbe();
		}
	}

	private void finish(Grant grant, GrantUpdate update, long nowNanos) {
		Engine failed = this.engines.find(update.getServer());
		if (update.getKind() == GrantUpdate.Kind.FAILED && failed != null) {
			failed.observeFailure(nowNanos);
		}
		if (update.getKind() == GrantUpdate.Kind.RELEASED && update.getGeneratedTokens() > 0) {
			grant.caller.observeLength(update.getGeneratedTokens());
			this.allCallers.observeLength(update.getGeneratedTokens());
		}
		grant.caller.tokens
			.take(grant.request.getPromptTokens() + update.getGeneratedTokens() - (double) grant.chargedTokens);
		this.grants.finish(grant, update, nowNanos);
	}

	/**
	 * Renew a grant.
	 * @param requestId id of the request
	 * @param attempt number of the attempt
	 * @param nowNanos current time
	 * @return false if the grant is unknown and must be registered
	 */
	public boolean renew(String requestId, int attempt, long nowNanos) {
		Grant grant = this.grants.find(key(requestId, attempt));
		if (grant != null) {
			grant.renewedNanos = nowNanos;
		}
		return grant != null;
	}

	/**
	 * Register a grant that was made by another scheduler or an entry router.
	 * @param active the grant
	 * @param nowNanos current time
	 */
	public void register(ActiveGrant active, long nowNanos) {
		GrantReply reply = active.getReply();
		String key = key(reply.getRequestId(), reply.getAttempt());
		Grant known = this.grants.find(key);
		if (known != null && sameEngines(known.reply, reply)) {
			known.renewedNanos = nowNanos;
			return;
		}
		if (known != null) {
			// The entry router did not receive the grant in time and selected other
			// engines.
			this.grants.remove(known, nowNanos);
		}
		if (!reply.getGranted() || this.grants.size() >= this.parameters.maxGrants()) {
			return;
		}
		WaitingRequest waiting = this.queue.find(key);
		if (waiting != null) {
			dequeue(waiting);
		}
		Grant grant = new Grant(key, active.getRequest(), reply,
				this.callers.getOrCreate(active.getRequest().getCaller(), nowNanos));
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
			grant.prefillPieces = this.placement.piecesFor(active.getRequest().getPromptTokens());
		}
		this.grants.add(grant, nowNanos);
	}

	private static boolean sameEngines(GrantReply one, GrantReply other) {
		return one.getPrefillServer().equals(other.getPrefillServer())
				&& one.getDecodeServer().equals(other.getDecodeServer());
	}

	/**
	 * Expire grants and queued requests, detect stragglers and serve the queue. Must be
	 * called every few milliseconds.
	 * @param nowNanos current time
	 * @return the available replies
	 */
	public List<GrantReply> tick(long nowNanos) {
		this.grants.expire(this.parameters.grantTimeoutMillis() * 1_000_000L, nowNanos, (grant) -> {
		});
		for (int i = this.queue.size() - 1; i >= 0; i--) {
			WaitingRequest entry = this.queue.at(i);
			if (nowNanos - entry.lastPolledNanos > this.parameters.pollTimeoutMillis() * 1_000_000L) {
				dequeue(entry);
			}
			else if (nowNanos + entry.serviceNanos - latestNanos(entry) > 0) {
				dequeue(entry);
				refuse(entry.request, "deadline", "no engine became free before the first-token target",
						(long) this.queuedNanos);
			}
		}
		if (nowNanos - this.lastComparisonNanos >= COMPARISON_INTERVAL_NANOS) {
			this.lastComparisonNanos = nowNanos;
			this.grants.observeOverdue(nowNanos);
			this.engines.compareSpeeds();
		}
		serveQueue(nowNanos);
		return takeReplies();
	}

	private void serveQueue(long nowNanos) {
		int failed = 0;
		WaitingRequest blocked = null;
		this.pass++;
		while (failed < MAX_FAILED_PLACEMENTS && this.grants.size() < this.parameters.maxGrants()) {
			WaitingRequest entry = this.queue.firstUntried(this.pass);
			if (entry == null) {
				return;
			}
			entry.lastPass = this.pass;
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

	private List<GrantReply> takeReplies() {
		if (this.replies.isEmpty()) {
			return List.of();
		}
		List<GrantReply> result = this.replies;
		this.replies = new ArrayList<>();
		return result;
	}

	/**
	 * Return a view of the current state for metrics and tests.
	 * @return the view, valid until the next call of this scheduler
	 */
	public SchedulerView view() {
		return new SchedulerView(this.engines, this.grants, this.queue, this.callers);
	}

	static String key(String requestId, int attempt) {
		return requestId + "." + attempt;
	}

}
