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
 * Test fixture with a scheduler, its engines and a manually advanced clock.
 */
final class SchedulerFixture {

	static final long NANOS_PER_MILLI = 1_000_000L;

	static final int QUEUE_CAPACITY = 8;

	static final int PREFILL_TOKENS_PER_SECOND = 10_000;

	final Scheduler scheduler;

	final List<GrantReply> replies = new ArrayList<>();

	final int memoryPieces;

	long nowNanos;

	SchedulerFixture(int prefill, int decode, int memoryPieces) {
		this.memoryPieces = memoryPieces;
		SchedulerParameters base = SchedulerParameters.of(2048, QUEUE_CAPACITY, 1100, 35, 3000);
		this.scheduler = Scheduler.create(base, RandomSource.XO_RO_SHI_RO_128_PP.create(5), 0);
		List<EngineDescriptor> descriptors = Stream
			.concat(IntStream.range(0, prefill).mapToObj((i) -> descriptor("p" + i, EngineRole.PREFILL)),
					IntStream.range(0, decode).mapToObj((i) -> descriptor("d" + i, EngineRole.DECODE)))
			.toList();
		this.scheduler.setEngines(descriptors, 0);
		descriptors.forEach((descriptor) -> this.scheduler.observeLoad(
				new EngineLoad(descriptor.name(), memoryPieces, 0, PREFILL_TOKENS_PER_SECOND, 160_000, 10_000_000_000L),
				0));
	}

	private static EngineDescriptor descriptor(String name, EngineRole role) {
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

	List<GrantReply> submit(GrantRequest.Builder request) {
		return recordReplies(this.scheduler.request(request.build(), this.nowNanos));
	}

	GrantReply submitAndGetGrant(GrantRequest.Builder request) {
		return submit(request).stream()
			.filter((reply) -> reply.getGranted() && reply.getRequestId().equals(request.getRequestId()))
			.findFirst()
			.orElseThrow(() -> new AssertionError("No grant was returned for request " + request.getRequestId()));
	}

	List<GrantReply> update(String id, GrantUpdate.Kind kind) {
		return recordReplies(this.scheduler.update(
				GrantUpdate.newBuilder().setRequestId(id).setAttempt(1).setKind(kind).setGeneratedTokens(10).build(),
				this.nowNanos));
	}

	List<GrantReply> tick(long millis) {
		this.nowNanos += millis * NANOS_PER_MILLI;
		return recordReplies(this.scheduler.tick(this.nowNanos));
	}

	private List<GrantReply> recordReplies(List<GrantReply> due) {
		this.replies.addAll(due);
		return due;
	}

	int reservedPieces(String engine) {
		return engine(engine).reservedPieces();
	}

	SchedulerView.EngineView engine(String name) {
		return this.scheduler.view().engines().filter((engine) -> engine.name().equals(name)).findFirst().orElseThrow();
	}

	int totalReservedPieces() {
		return this.scheduler.view().engines().mapToInt(SchedulerView.EngineView::reservedPieces).sum();
	}

}
