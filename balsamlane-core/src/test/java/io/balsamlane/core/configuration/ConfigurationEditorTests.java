package io.balsamlane.core.configuration;

import java.util.List;
import java.util.function.Consumer;

import io.balsamlane.core.configuration.EditResult.Edited;
import io.balsamlane.core.configuration.EditResult.Invalid;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against deltas and rollbacks that produce a document different from the accepted
 * one, and against objects that no router could use.
 */
class ConfigurationEditorTests {

	@Property(tries = 100, seed = "8301")
	void deltaReproducesTheDocument(@ForAll long seed) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		Configuration known = Configuration.getDefaultInstance();
		Configuration current = known;
		int knownIndex = random.nextInt(120);
		for (int number = 0; number < 120; number++) {
			String name = "s" + random.nextInt(10);
			ObjectChange object = ObjectChange.newBuilder().setKind(ObjectKind.SELECTOR).setName(name).build();
			long expected = ConfigurationEditor.find(current, object).map(ObjectChange::getExpectedRevision).orElse(0L);
			Change change = TrackerSimulation.change("c" + number, name, expected);
			if (random.nextInt(4) == 0) {
				change = change.toBuilder().setObjects(0, object.toBuilder().setExpectedRevision(expected)).build();
			}
			current = applyChange(current, change);
			if (number == knownIndex) {
				known = current;
			}
		}
		var update = ConfigurationDelta.since(current, ConfigurationDelta.digest(current), known.getRevision()).build();
		assertThat(update.hasDocument())
			.isEqualTo(current.getRevision() - known.getRevision() > ConfigurationEditor.MAX_CHANGES);
		if (known.equals(current)) {
			assertThat(ConfigurationDelta.apply(known, update)).isInstanceOf(PullResult.Current.class);
		}
		else {
			assertThat(ConfigurationDelta.apply(known, update)).isEqualTo(new PullResult.Received(current));
			Configuration other = known.toBuilder().addCallers(Caller.newBuilder().setName("x")).build();
			if (!update.hasDocument()) {
				assertThat(ConfigurationDelta.apply(other, update)).isInstanceOf(PullResult.DigestMismatch.class);
			}
		}
	}

	private static Configuration applyChange(Configuration current, Change change) {
		return ((Edited) ConfigurationEditor.apply(current, change, 1)).configuration();
	}

	@Test
	void rollbackRestoresObjectsAndConflictsWithLaterChanges() {
		Configuration first = applyChange(Configuration.getDefaultInstance(), TrackerSimulation.change("a", "s", 0));
		Configuration second = applyChange(first, TrackerSimulation.change("b", "s", 1));
		Change undoSecond = ConfigurationEditor.rollback(second, 2, "undo", "me").orElseThrow();
		Configuration third = applyChange(second, undoSecond);
		assertThat(third.getSelectors(0).getRequests()).isEqualTo("id = a");
		Change undoFirst = ConfigurationEditor.rollback(second, 1, "undo2", "me").orElseThrow();
		assertThat(ConfigurationEditor.apply(second, undoFirst, 1))
			.isEqualTo(new EditResult.Conflict("selector s", 1, 2));
		Change undoCreation = ConfigurationEditor.rollback(first, 1, "undo3", "me").orElseThrow();
		Configuration deleted = applyChange(first, undoCreation);
		assertThat(deleted.getSelectorsCount()).isZero();
		Change undoDeletion = ConfigurationEditor.rollback(deleted, 2, "undo4", "me").orElseThrow();
		assertThat(applyChange(deleted, undoDeletion).getSelectors(0).getRequests()).isEqualTo("id = a");
		assertThat(ConfigurationEditor.rollback(second, 9, "undo5", "me")).isEmpty();
	}

	static List<Arguments> invalidObjects() {
		return List.of(Arguments.of("no change_id", change((change) -> change.clearChangeId())),
				Arguments.of("contains no object", change((change) -> change.clearObjects())),
				Arguments.of("twice", change((change) -> change.addObjects(change.getObjects(0)))),
				Arguments.of("is not valid", changeWithObject((object) -> object.setName("Upper"))),
				Arguments.of("use the same kind", changeWithObject((object) -> object.setKind(ObjectKind.CALLER))),
				Arguments.of("has no role", changeWithObject((object) -> object.getPoolBuilder().clearRole())),
				Arguments.of("needs a model", changeWithObject((object) -> object.getPoolBuilder().clearModel())),
				Arguments.of("none of the keys",
						changeWithObject((object) -> object.getPoolBuilder().putLabels("role", "x"))),
				Arguments.of("is not valid",
						changeWithObject((object) -> object.getPoolBuilder().putLabels("a b", "x"))),
				Arguments.of("is not a call",
						changeWithObject((object) -> object.setKind(ObjectKind.SERVICE)
							.setService(PlainService.newBuilder().addRepeatable("get it")))),
				Arguments.of("is not repeatable",
						changeWithObject((object) -> object.setKind(ObjectKind.SERVICE)
							.setService(PlainService.newBuilder().addRepeatable("GET /a").addHedged("GET /b")))),
				Arguments.of("64 lower-case",
						changeWithObject((object) -> object.setKind(ObjectKind.CALLER)
							.setCaller(Caller.newBuilder().setTokenSha256("secret")))),
				Arguments.of("token of another caller",
						change((change) -> change.addObjects(ObjectChange.newBuilder()
							.setKind(ObjectKind.CALLER)
							.setName("other")
							.setCaller(Caller.newBuilder().setTokenSha256("a".repeat(64)))))),
				Arguments.of("a service have the name", changeWithObject((object) -> object.setName("taken"))),
				Arguments.of("more than 1048576", change((change) -> {
					for (int number = 0; number < 12_000; number++) {
						change.addObjects(ObjectChange.newBuilder()
							.setKind(ObjectKind.POOL)
							.setName("pool-" + number)
							.setPool(change.getObjects(0).getPool().toBuilder().putLabels("note", "x".repeat(100))));
					}
				})));
	}

	private static Change change(Consumer<Change.Builder> edit) {
		Change.Builder change = Change.newBuilder()
			.setChangeId("id")
			.addObjects(ObjectChange.newBuilder()
				.setKind(ObjectKind.POOL)
				.setName("pool")
				.setPool(Pool.newBuilder().setRole(EngineRole.DECODE).setModel("m").setPlace("p")));
		edit.accept(change);
		return change.build();
	}

	private static Change changeWithObject(Consumer<ObjectChange.Builder> edit) {
		return change((change) -> edit.accept(change.getObjectsBuilder(0)));
	}

	@ParameterizedTest
	@MethodSource("invalidObjects")
	void invalidChangeIsRejected(String message, Change change) {
		Configuration current = Configuration.newBuilder()
			.addServices(PlainService.newBuilder().setName("taken"))
			.addCallers(Caller.newBuilder().setName("first").setTokenSha256("a".repeat(64)))
			.build();
		EditResult result = ConfigurationEditor.apply(current, change, 1);
		assertThat(result).isInstanceOf(Invalid.class);
		assertThat(((Invalid) result).message()).contains(message);
	}

}
