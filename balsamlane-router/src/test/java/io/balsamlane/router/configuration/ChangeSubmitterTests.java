package io.balsamlane.router.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import io.balsamlane.core.configuration.ConfigurationEditor;
import io.balsamlane.core.configuration.EditResult;
import io.balsamlane.router.configuration.ScriptedStore.Fault;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;
import io.balsamlane.schema.Selector;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ChangeSubmitter}. Guards against an outcome that disagrees with the
 * store: "not stored" while a write may still take effect, or "stored" for a change that
 * was lost.
 */
class ChangeSubmitterTests {

	private static final Vertx vertx = Vertx.vertx();

	private static final Configuration BASE = edit(Configuration.getDefaultInstance(), change("base", "shared", 0));

	@AfterAll
	static void close() {
		vertx.close();
	}

	static List<Arguments> faults() {
		List<Fault> outage = new ArrayList<>(List.of(Fault.REQUEST_LOST));
		outage.addAll(Collections.nCopies(20, Fault.READ_FAILS));
		List<Fault> answerLostThenOutage = new ArrayList<>(List.of(Fault.ANSWER_LOST));
		answerLostThenOutage.addAll(Collections.nCopies(20, Fault.READ_FAILS));
		return List.of(Arguments.of(List.of(), "other", SubmitResult.Stored.class, 1),
				Arguments.of(List.of(Fault.READ_FAILS), "other", SubmitResult.StoreUnavailable.class, 0),
				Arguments.of(List.of(Fault.ANSWER_LOST), "other", SubmitResult.Stored.class, 1),
				Arguments.of(List.of(Fault.REQUEST_LOST), "other", SubmitResult.Stored.class, 1),
				Arguments.of(List.of(Fault.TAKES_EFFECT_AFTER_NEXT_READ), "other", SubmitResult.Stored.class, 1),
				Arguments.of(List.of(Fault.ANSWER_LOST, Fault.READ_FAILS), "other", SubmitResult.Stored.class, 1),
				Arguments.of(outage, "other", SubmitResult.Undecided.class, 0),
				Arguments.of(answerLostThenOutage, "other", SubmitResult.Undecided.class, 1),
				Arguments.of(List.of(Fault.OTHER_CHANGE_FIRST), "other", SubmitResult.Stored.class, 1),
				Arguments.of(List.of(Fault.OTHER_CHANGE_FIRST), "shared", SubmitResult.Refused.class, 0),
				Arguments.of(List.of(Fault.REQUEST_LOST, Fault.OTHER_CHANGE_FIRST), "shared",
						SubmitResult.Refused.class, 0),
				Arguments.of(List.of(Fault.REJECTED), "other", SubmitResult.StoreUnavailable.class, 0),
				Arguments.of(List.of(Fault.REQUEST_LOST, Fault.REJECTED), "other", SubmitResult.Stored.class, 1));
	}

	@ParameterizedTest
	@MethodSource("faults")
	void outcomeMatchesStoredDocument(List<Fault> script, String selector, Class<?> expected, int timesStored)
			throws Exception {
		ScriptedStore store = new ScriptedStore(script, BASE.toByteArray(),
				edit(BASE, change("competing", "shared", 1)).toByteArray());
		List<Configuration> accepted = new ArrayList<>();
		SubmitResult result = submit(store, change("mine", selector, selector.equals("shared") ? 1 : 0), 0, accepted);
		assertThat(result).isInstanceOf(expected);
		assertThat(Configuration.parseFrom(store.value()).getChangesList()).extracting(Change::getChangeId)
			.filteredOn("mine"::equals)
			.hasSize(timesStored);
		assertThat(accepted).hasSize((result instanceof SubmitResult.Stored) ? 1 : 0);
	}

	private static SubmitResult submit(ScriptedStore store, Change change, long known, List<Configuration> accepted)
			throws Exception {
		return ChangeSubmitter.create(vertx, store, () -> known, accepted::add)
			.submit(change)
			.toCompletionStage()
			.toCompletableFuture()
			.get(10, TimeUnit.SECONDS);
	}

	@Test
	void rejectsChangeToOlderDocumentUntilRestored() throws Exception {
		Configuration inForce = edit(BASE, change("lost", "kept", 0));
		ScriptedStore store = new ScriptedStore(List.of(), BASE.toByteArray(), new byte[0]);
		assertThat(submit(store, change("mine", "other", 0), 2, new ArrayList<>()))
			.isInstanceOf(SubmitResult.StoreRegressed.class);
		ChangeSubmitter submitter = ChangeSubmitter.create(vertx, store, () -> 2, (next) -> {
		});
		SubmitResult restored = submitter.restore(inForce, Change.newBuilder().setChangeId("restore").build())
			.toCompletionStage()
			.toCompletableFuture()
			.get(10, TimeUnit.SECONDS);
		assertThat(restored).isEqualTo(new SubmitResult.Stored(3));
		assertThat(parse(store).getSelectorsList()).extracting(Selector::getName).containsExactly("shared", "kept");
		assertThat(submit(store, change("mine", "other", 0), 3, new ArrayList<>()))
			.isEqualTo(new SubmitResult.Stored(4));
	}

	private static Configuration parse(ScriptedStore store) throws InvalidProtocolBufferException {
		return Configuration.parseFrom(store.value());
	}

	private static Configuration edit(Configuration current, Change change) {
		return ((EditResult.Edited) ConfigurationEditor.apply(current, change, 1)).configuration();
	}

	private static Change change(String id, String selector, long expectedRevision) {
		return Change.newBuilder()
			.setChangeId(id)
			.addObjects(ObjectChange.newBuilder()
				.setKind(ObjectKind.SELECTOR)
				.setName(selector)
				.setExpectedRevision(expectedRevision)
				.setSelector(Selector.newBuilder().setRequests("id = " + id)))
			.build();
	}

}
