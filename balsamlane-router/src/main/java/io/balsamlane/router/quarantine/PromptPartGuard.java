package io.balsamlane.router.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.PromptPart;
import io.balsamlane.core.retry.PromptPartQuarantine;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.CrashSuspect;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.PromptPartOutput;
import io.balsamlane.schema.PromptPartQuery;
import io.balsamlane.schema.PromptPartReply;
import io.balsamlane.schema.QuarantineEntry;
import io.balsamlane.schema.QuarantineSync;
import io.balsamlane.schema.ServerDeath;
import io.vertx.core.Future;

/**
 * Quarantines parts of prompts under which backend servers crash, jointly with the other
 * routers: the suspects of a crash are part of the report of the crash, and before a
 * decision the other routers are asked for output of the suspected parts. Confined to the
 * event loop of its owner, which passes on the messages of other routers.
 */
public final class PromptPartGuard {

	private static final int MAX_CRASHES = 64;

	private static final int MAX_PARTS = 4096;

	/**
	 * A router that does not answer in time is not waited for, because servers may be
	 * crashing meanwhile.
	 */
	private static final long QUERY_TIMEOUT_MILLIS = 250;

	private static final long ANNOUNCEMENT_TIMEOUT_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final PeerNetwork peers;

	private final Executor loop;

	private final long retentionNanos;

	private final PromptPartQuarantine quarantine;

	private PromptPartGuard(PeerNetwork peers, Executor loop, long mergeNanos, long settleNanos, long retentionNanos) {
		this.peers = peers;
		this.loop = loop;
		this.retentionNanos = retentionNanos;
		this.quarantine = PromptPartQuarantine.create(MAX_CRASHES, MAX_PARTS, mergeNanos, settleNanos, retentionNanos);
	}

	/**
	 * Create a guard.
	 * @param peers the other routers
	 * @param loop executes the handling of their replies on the event loop of the owner
	 * @param mergeNanos time within which reports about a server count as one crash, in
	 * nanoseconds
	 * @param settleNanos time after a crash for which reports about it may be
	 * outstanding, in nanoseconds
	 * @param retentionNanos time for which a part stays quarantined, in nanoseconds
	 * @return the guard
	 */
	public static PromptPartGuard create(PeerNetwork peers, Executor loop, long mergeNanos, long settleNanos,
			long retentionNanos) {
		return new PromptPartGuard(peers, loop, mergeNanos, settleNanos, retentionNanos);
	}

	/**
	 * Return whether requests with one of the given parts are refused.
	 * @param parts the parts
	 * @return true while one of them is quarantined
	 */
	public boolean isQuarantined(Collection<PromptPart> parts) {
		long nowNanos = System.nanoTime();
		return parts.stream().anyMatch((part) -> this.quarantine.isQuarantined(part, nowNanos));
	}

	/**
	 * Record that a server sent output of a request.
	 * @param parts parts of its prompt
	 */
	public void recordOutput(Collection<PromptPart> parts) {
		this.quarantine.produced(parts, System.nanoTime());
	}

	/**
	 * Record that a server crashed while it ran requests of this router.
	 * @param server the server
	 * @param suspects the requests of which it had sent no output
	 * @param atNanos time of the crash on the monotonic clock
	 */
	public void recordCrash(String server, Collection<PromptPartQuarantine.Suspect> suspects, long atNanos) {
		this.quarantine.crashed(server, suspects, true, atNanos);
	}

	/**
	 * Add the suspects of a crash to its report.
	 * @param report the report
	 * @param suspects the requests
	 * @param atNanos time of the crash on the monotonic clock
	 */
	public static void addSuspects(ServerDeath.Builder report, Collection<PromptPartQuarantine.Suspect> suspects,
			long atNanos) {
		report.setAgeMillis(millis(System.nanoTime() - atNanos));
		suspects.forEach((suspect) -> report.addSuspects(CrashSuspect.newBuilder()
			.addAllPromptParts(suspect.parts().stream().map(PromptPart::value).toList())
			.setSentBeforeMillis(millis(atNanos - suspect.sentNanos()))));
	}

	/**
	 * Record the report of another router about a crash.
	 * @param report the report
	 */
	public void applyReport(ServerDeath report) {
		long atNanos = System.nanoTime() - report.getAgeMillis() * NANOS_PER_MILLI;
		this.quarantine.crashed(report.getServer(),
				report.getSuspectsList()
					.stream()
					.map((suspect) -> new PromptPartQuarantine.Suspect(
							suspect.getPromptPartsList().stream().map(PromptPart::of).toList(),
							atNanos - suspect.getSentBeforeMillis() * NANOS_PER_MILLI))
					.toList(),
				false, atNanos);
	}

	/**
	 * Quarantine the parts that are identified as the cause of crashes, once the other
	 * routers have had time to object, and announce them.
	 * @param listener notified of each decision
	 */
	public void decide(Consumer<PromptPartQuarantine.Decision> listener) {
		Set<PromptPart> candidates = this.quarantine.candidates(System.nanoTime());
		if (!candidates.isEmpty()) {
			queryOutputs(candidates).onComplete((answered) -> this.loop
				.execute(() -> this.quarantine.quarantineCulprits(System.nanoTime()).forEach((decision) -> {
					announce(decision.part());
					listener.accept(decision);
				})));
		}
	}

	private Future<?> queryOutputs(Set<PromptPart> candidates) {
		PeerMessage.Builder query = PeerMessage.newBuilder()
			.setPromptPartQuery(
					PromptPartQuery.newBuilder().addAllParts(candidates.stream().map(PromptPart::value).toList()));
		return Future.join(
				otherRouters()
					.map((host) -> this.peers.call(host, query.clone(), QUERY_TIMEOUT_MILLIS)
						.onSuccess((reply) -> this.loop.execute(() -> applyOutputs(reply))))
					.toList());
	}

	private void applyOutputs(PeerReply reply) {
		if (reply instanceof PeerReply.Answered answered) {
			long nowNanos = System.nanoTime();
			answered.message()
				.getPromptPartReply()
				.getOutputsList()
				.forEach((output) -> this.quarantine.produced(List.of(PromptPart.of(output.getPart())),
						nowNanos - output.getAgeMillis() * NANOS_PER_MILLI));
		}
	}

	/**
	 * Answer the query of another router for output.
	 * @param query the query
	 * @return the reply
	 */
	public PeerMessage.Builder answer(PromptPartQuery query) {
		long nowNanos = System.nanoTime();
		PromptPartReply.Builder reply = PromptPartReply.newBuilder();
		query.getPartsList()
			.forEach((part) -> this.quarantine.outputAgeNanos(PromptPart.of(part), nowNanos)
				.ifPresent((ageNanos) -> reply
					.addOutputs(PromptPartOutput.newBuilder().setPart(part).setAgeMillis(millis(ageNanos)))));
		return PeerMessage.newBuilder().setPromptPartReply(reply);
	}

	private void announce(PromptPart part) {
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setQuarantineSync(QuarantineSync.newBuilder().addEntries(entry(part, this.retentionNanos)));
		otherRouters().forEach((host) -> this.peers.call(host, message.clone(), ANNOUNCEMENT_TIMEOUT_MILLIS));
	}

	private Stream<HostName> otherRouters() {
		HostName self = this.peers.members().self().host();
		return this.peers.members()
			.members()
			.stream()
			.map((member) -> member.host())
			.filter((host) -> !host.equals(self));
	}

	/**
	 * Apply the quarantine of another router.
	 * @param entry the quarantine of a part
	 * @return false if it was in force already
	 */
	public boolean apply(QuarantineEntry entry) {
		return this.quarantine.apply(PromptPart.of(entry.getValue()), entry.getRemainingMillis() * NANOS_PER_MILLI,
				System.nanoTime());
	}

	/**
	 * Return the quarantines in force.
	 * @return the quarantined parts with their remaining times
	 */
	public List<QuarantineEntry> entries() {
		Map<PromptPart, Long> remainingNanos = this.quarantine.remainingNanos(System.nanoTime());
		return remainingNanos.entrySet().stream().map((part) -> entry(part.getKey(), part.getValue())).toList();
	}

	private static QuarantineEntry entry(PromptPart part, long remainingNanos) {
		return QuarantineEntry.newBuilder()
			.setKind(QuarantineEntry.Kind.PROMPT_PART)
			.setValue(part.value())
			.setRemainingMillis(millis(remainingNanos))
			.build();
	}

	private static int millis(long nanos) {
		return (int) Math.max(0, Math.min(Integer.MAX_VALUE, nanos / NANOS_PER_MILLI));
	}

}
