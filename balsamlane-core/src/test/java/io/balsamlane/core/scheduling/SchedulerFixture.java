package io.balsamlane.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.balsamlane.core.model.Place;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A scheduler with some engines and a clock that tests move.
 */
final class SchedulerFixture {

	static final long MILLI = 1_000_000L;

	static final int QUEUE = 8;

	static final int PREFILL_TOKENS_PER_SECOND = 10_000;

	final Scheduler scheduler;

	final List<GrantReply> replies = new ArrayList<>();

	final int memoryPieces;

	long nowNanos;

	SchedulerFixture(int prefill, int decode, int memoryPieces) {
		this.memoryPieces = memoryPieces;
		SchedulerParameters base = SchedulerParameters.of(2048, QUEUE, 1100, 35, 3000);
		this.scheduler = Scheduler.create(base, RandomSource.XO_RO_SHI_RO_128_PP.create(5), 0);
		List<EngineDescriptor> facts = Stream
			.concat(IntStream.range(0, prefill).mapToObj((i) -> facts("p" + i, EngineRole.PREFILL)),
					IntStream.range(0, decode).mapToObj((i) -> facts("d" + i, EngineRole.DECODE)))
			.toList();
		this.scheduler.setEngines(facts, 0);
		facts.forEach((fact) -> this.scheduler.observeLoad(
				new EngineLoad(fact.name(), memoryPieces, 0, PREFILL_TOKENS_PER_SECOND, 160_000, 10_000_000_000L), 0));
	}

	private static EngineDescriptor facts(String name, EngineRole role) {
		return new EngineDescriptor(name, role.name(), role, "model", Place.of("place"), "region");
	}

	static GrantRequest.Builder request(String id, int promptTokens, int maxTokens) {
		return GrantRequest.newBuilder()
			.setRequestId(id)
			.setAttempt(1)
			.setCaller("caller")
			.setPromptTokens(promptTokens)
			.setMaxTokens(maxTokens)
			.setFirstTokenRemainingMillis(1100);
	}

	List<GrantReply> ask(GrantRequest.Builder request) {
		return keep(this.scheduler.request(request.build(), this.nowNanos));
	}

	GrantReply granted(GrantRequest.Builder request) {
		return ask(request).stream()
			.filter((reply) -> reply.getGranted() && reply.getRequestId().equals(request.getRequestId()))
			.findFirst()
			.orElseThrow(() -> new AssertionError("no grant for " + request.getRequestId()));
	}

	List<GrantReply> update(String id, GrantUpdate.Kind kind) {
		return keep(this.scheduler.update(
				GrantUpdate.newBuilder().setRequestId(id).setAttempt(1).setKind(kind).setGeneratedTokens(10).build(),
				this.nowNanos));
	}

	List<GrantReply> tick(long millis) {
		this.nowNanos += millis * MILLI;
		return keep(this.scheduler.tick(this.nowNanos));
	}

	private List<GrantReply> keep(List<GrantReply> due) {
		this.replies.addAll(due);
		return due;
	}

	int reserved(String engine) {
		return engine(engine).reservedPieces();
	}

	SchedulerView.EngineView engine(String name) {
		return this.scheduler.view().engines().filter((engine) -> engine.name().equals(name)).findFirst().orElseThrow();
	}

	int reservedTotal() {
		return this.scheduler.view().engines().mapToInt(SchedulerView.EngineView::reservedPieces).sum();
	}

}
