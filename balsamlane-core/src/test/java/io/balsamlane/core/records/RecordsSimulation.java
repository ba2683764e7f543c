package io.balsamlane.core.records;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.RecordArchive;
import io.balsamlane.schema.RecordShard;
import io.balsamlane.schema.RecordState;
import io.balsamlane.schema.StoredAnswer;
import org.apache.commons.rng.simple.RandomSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulation of the writers of one shard, a store that loses answers and delays writes,
 * and dispatchers that pause and crash. Each message is queued until a step delivers it.
 */
final class RecordsSimulation {

	private static final int KEYS = 3;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final ShardLimits LIMITS = new ShardLimits(10 * NANOS_PER_MILLI, 3_600_000, 50 * NANOS_PER_MILLI,
			20 * NANOS_PER_MILLI, 2000 * NANOS_PER_MILLI, 64, 150, 2000, 100, 100_000);

	private final Map<String, Stored> store = new HashMap<>();

	private final List<Runnable> delayedWrites = new ArrayList<>();

	private final List<ShardWriter> writers = new ArrayList<>();

	private final Map<ShardWriter, RecordAction> inProgress = new HashMap<>();

	private final Map<Long, Copy> copiesByTicket = new HashMap<>();

	private final List<Copy> allCopies = new ArrayList<>();

	private final List<Runnable> replies = new ArrayList<>();

	private final Map<Integer, Integer> dispatches = new HashMap<>();

	private final Map<Integer, CallRecord> finalRecords = new HashMap<>();

	private final boolean singleWriter;

	private long nowNanos;

	private long nextVersion = 1;

	private long nextTicket;

	private boolean storeDown;

	RecordsSimulation(int writerCount) {
		this.singleWriter = writerCount == 1;
		for (int index = 0; index < writerCount; index++) {
			ShardWriter writer = ShardWriter.create(0, LIMITS, RandomSource.XO_RO_SHI_RO_128_PP.create(index + 1L));
			this.writers.add(writer);
			run(writer, writer.acquire(this.nowNanos, epoch()));
		}
	}

	private long epoch() {
		return 1_000_000_000L + this.nowNanos / NANOS_PER_MILLI;
	}

	private ShardWriter writer(int choice) {
		return this.writers.get(Math.floorMod(choice, this.writers.size()));
	}

	void newCopy(int choice) {
		Copy copy = new Copy(Math.floorMod(choice, KEYS), this.allCopies.size() + 1);
		this.allCopies.add(copy);
		sendIntent(copy, choice / KEYS);
	}

	void retry(int choice) {
		List<Copy> asking = this.allCopies.stream().filter((copy) -> !copy.decided && !copy.crashed).toList();
		if (!asking.isEmpty()) {
			Copy copy = asking.get(Math.floorMod(choice, asking.size()));
			copy.gate.handleNoReply(true, copy.startNanos);
			sendIntent(copy, choice / 7);
		}
	}

	private void sendIntent(Copy copy, int choice) {
		ShardWriter writer = writer(choice);
		long ticket = this.nextTicket++;
		this.copiesByTicket.put(ticket, copy);
		run(writer, writer.intent(ticket, copy.record(RecordState.INTENT), 200, this.nowNanos, epoch()));
	}

	void report(int choice) {
		List<Copy> reporting = this.allCopies.stream().filter((copy) -> copy.outcome != null && !copy.crashed).toList();
		if (!reporting.isEmpty()) {
			Copy copy = reporting.get(Math.floorMod(choice, reporting.size()));
			ShardWriter writer = writer(choice / 5);
			long ticket = this.nextTicket++;
			this.copiesByTicket.put(ticket, copy);
			run(writer, writer.outcome(ticket, copy.record(copy.outcome), 200, this.nowNanos, epoch()));
		}
	}

	void dispatch(int choice) {
		List<Copy> allowed = this.allCopies.stream().filter((copy) -> copy.mayDispatch && !copy.crashed).toList();
		if (!allowed.isEmpty()) {
			Copy copy = allowed.get(Math.floorMod(choice, allowed.size()));
			copy.mayDispatch = false;
			if (choice % 4 == 0) {
				copy.outcome = RecordState.NOT_RUN;
				return;
			}
			copy.outcome = (choice % 5 == 0) ? RecordState.UNKNOWN : RecordState.COMPLETED;
			int count = this.dispatches.merge(copy.key, 1, Integer::sum);
			assertThat(count).as("dispatches of key %d", copy.key).isEqualTo(1);
		}
	}

	void crash(int choice) {
		if (!this.allCopies.isEmpty()) {
			this.allCopies.get(Math.floorMod(choice, this.allCopies.size())).crashed = true;
		}
	}

	void changeOwner(int choice) {
		ShardWriter writer = writer(choice);
		run(writer, (choice % 2 == 0) ? writer.release() : writer.acquire(this.nowNanos, epoch()));
	}

	/** Advance the clock. A writer that is not ticked in time counts as paused. */
	void advance(int choice) {
		this.nowNanos += (choice % 20 == 0) ? 3000 * NANOS_PER_MILLI : Math.floorMod(choice, 30) * NANOS_PER_MILLI;
		for (int index = 0; index < this.writers.size(); index++) {
			if ((choice >> (8 + index)) % 3 != 0) {
				tick(this.writers.get(index));
			}
		}
	}

	private void tick(ShardWriter writer) {
		run(writer, writer.tick(this.nowNanos, epoch()));
	}

	void deliver(int choice) {
		if (!this.replies.isEmpty()) {
			this.replies.remove(Math.floorMod(choice, this.replies.size())).run();
		}
	}

	void loseReply(int choice) {
		if (!this.replies.isEmpty()) {
			this.replies.remove(Math.floorMod(choice, this.replies.size()));
		}
	}

	void setStoreDown(boolean storeDown) {
		this.storeDown = storeDown;
	}

	void applyDelayedWrite(int choice) {
		if (!this.delayedWrites.isEmpty()) {
			this.delayedWrites.remove(Math.floorMod(choice, this.delayedWrites.size())).run();
		}
	}

	void answerStore(int choice, boolean faults) {
		ShardWriter writer = writer(choice);
		RecordAction action = this.inProgress.remove(writer);
		if (action == null) {
			return;
		}
		StoreAnswer answer = new StoreAnswer.Unavailable("no answer");
		int fault = (faults && !this.storeDown) ? Math.floorMod(choice / 11, 6) : 0;
		if (fault == 1) {
			execute(action);
		}
		else if (fault == 2) {
			this.delayedWrites.add(() -> execute(action));
		}
		else if (fault != 3 && !this.storeDown) {
			answer = execute(action);
		}
		run(writer, writer.handleStoreAnswer(answer, this.nowNanos, epoch()));
	}

	private StoreAnswer execute(RecordAction action) {
		if (action instanceof RecordAction.ReadRegister) {
			return read("register");
		}
		if (action instanceof RecordAction.ReadArchive read) {
			return read("archive-" + read.number());
		}
		if (action instanceof RecordAction.WriteRegister write) {
			return write("register", write.value().toByteString(), write.expectedVersion());
		}
		if (action instanceof RecordAction.CreateArchive create) {
			return write("archive-" + create.value().getNumber(), create.value().toByteString(), 0);
		}
		this.store.remove("archive-" + ((RecordAction.DeleteArchive) action).number());
		return new StoreAnswer.Written(this.nextVersion++);
	}

	private StoreAnswer read(String key) {
		Stored stored = this.store.get(key);
		return (stored != null) ? new StoreAnswer.Found(stored.value(), stored.version()) : new StoreAnswer.Absent();
	}

	private StoreAnswer write(String key, ByteString value, long expectedVersion) {
		Stored stored = this.store.get(key);
		if (((stored != null) ? stored.version() : 0) != expectedVersion) {
			return new StoreAnswer.Mismatch();
		}
		this.store.put(key, new Stored(value, this.nextVersion));
		return new StoreAnswer.Written(this.nextVersion++);
	}

	private void run(ShardWriter writer, List<RecordAction> actions) {
		for (RecordAction action : actions) {
			if (action instanceof RecordAction.Reply reply) {
				Copy copy = this.copiesByTicket.get(reply.ticket());
				checkReply(copy, reply.reply());
				this.replies.add(() -> copy.receive(reply.reply(), this.nowNanos));
			}
			else {
				assertThat(this.inProgress.put(writer, action)).as("second action in progress").isNull();
			}
		}
	}

	private void checkReply(Copy copy, IntentReply reply) {
		CallRecord record = reply.getRecord();
		if (reply.getResult() == IntentReply.Result.EXISTS && finalState(record.getState())) {
			CallRecord before = this.finalRecords.putIfAbsent(copy.key, record);
			assertThat(before == null || before.equals(record)).as("the recorded outcome never changes").isTrue();
		}
		if (reply.getResult() == IntentReply.Result.CREATED) {
			assertThat(this.finalRecords).as("no permission to run after an outcome").doesNotContainKey(copy.key);
		}
		if (this.singleWriter && reply.getResult() == IntentReply.Result.REFUSED && !reply.getOtherRunPossible()
				&& copy.outcome == null) {
			assertThat(this.dispatches.getOrDefault(copy.key, 0)).as("a call reported as not run has not run").isZero();
			assertThat(states(copy.key)).as("a call reported as not run cannot run later")
				.containsOnly(RecordState.NOT_RUN);
		}
	}

	private static boolean finalState(RecordState state) {
		return state == RecordState.COMPLETED || state == RecordState.UNKNOWN;
	}

	private List<RecordState> states(int key) {
		List<RecordState> found = new ArrayList<>(List.of(RecordState.NOT_RUN));
		try {
			for (Map.Entry<String, Stored> entry : this.store.entrySet()) {
				List<CallRecord> records = entry.getKey().equals("register")
						? RecordShard.parseFrom(entry.getValue().value()).getRecordsList()
						: RecordArchive.parseFrom(entry.getValue().value()).getRecordsList();
				records.stream()
					.filter((record) -> record.getKeyHash().equals(keyHash(key)))
					.map(CallRecord::getState)
					.forEach(found::add);
			}
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(ex);
		}
		return found;
	}

	/**
	 * End all faults. Each key must then be decided, and a key that never ran must run.
	 */
	void verifyAfterFaults() {
		this.storeDown = false;
		while (!this.delayedWrites.isEmpty()) {
			applyDelayedWrite(0);
		}
		for (int index = 1; index < this.writers.size(); index++) {
			run(this.writers.get(index), this.writers.get(index).release());
		}
		ShardWriter owner = this.writers.get(0);
		run(owner, owner.acquire(this.nowNanos, epoch()));
		runUntilSettled();
		// A copy that waited for an abandoned one may itself be abandoned in a later
		// round.
		for (int round = 0; round < 3; round++) {
			reportAll(owner);
			runUntilSettled();
		}
		for (int key = 0; key < KEYS; key++) {
			newCopy(key);
			Copy copy = this.allCopies.get(this.allCopies.size() - 1);
			if (copy.key != key) {
				throw new IllegalStateException("The copy has another key");
			}
			runUntilSettled();
			assertThat(copy.decided).as("a decision on key %d after all faults", key).isTrue();
			int thisKey = key;
			boolean otherCrashedOrMayRun = this.allCopies.stream()
				.anyMatch((other) -> other.key == thisKey && other != copy
						&& (other.crashed || !other.decided || other.mayDispatch
								|| finalState((other.outcome != null) ? other.outcome : RecordState.INTENT)));
			assertThat(copy.mayDispatch || otherCrashedOrMayRun)
				.as("key %d stays blocked although no copy ran; %s", key, describe(key))
				.isTrue();
		}
	}

	private String describe(int key) {
		return states(key) + " "
				+ this.allCopies.stream()
					.filter((copy) -> copy.key == key)
					.map((copy) -> copy.nonce + " decided " + copy.decided + " outcome " + copy.outcome)
					.toList()
				+ " " + this.store.get("register").value();
	}

	private void reportAll(ShardWriter owner) {
		for (Copy copy : List.copyOf(this.allCopies)) {
			if (copy.outcome != null && !copy.crashed) {
				long ticket = this.nextTicket++;
				this.copiesByTicket.put(ticket, copy);
				run(owner, owner.outcome(ticket, copy.record(copy.outcome), 500, this.nowNanos, epoch()));
			}
		}
	}

	private void runUntilSettled() {
		for (int step = 0; step < 100; step++) {
			this.nowNanos += 5 * NANOS_PER_MILLI;
			for (int index = 0; index < this.writers.size(); index++) {
				tick(this.writers.get(index));
				answerStore(index, false);
			}
			while (!this.replies.isEmpty()) {
				deliver(0);
			}
		}
	}

	static ByteString keyHash(int key) {
		return ByteString.copyFrom(new byte[] { 0, 0, 0, 0, 0, 0, 0, (byte) key, 1 });
	}

	private record Stored(ByteString value, long version) {
	}

	/** One copy of a call, in its entry router. */
	private final class Copy {

		private final int key;

		private final long nonce;

		private final long startNanos = RecordsSimulation.this.nowNanos;

		private final DispatchGate gate = DispatchGate.create(this.startNanos, 5000 * NANOS_PER_MILLI);

		private boolean decided;

		private boolean mayDispatch;

		private boolean crashed;

		private RecordState outcome;

		Copy(int key, long nonce) {
			this.key = key;
			this.nonce = nonce;
		}

		CallRecord record(RecordState state) {
			CallRecord.Builder record = CallRecord.newBuilder()
				.setKeyHash(keyHash(this.key))
				.setDispatcherHost("entry")
				.setDispatchNonce(this.nonce)
				.setState(state);
			if (state == RecordState.COMPLETED) {
				record.setAnswer(
						StoredAnswer.newBuilder().setStatus(200).setBody(ByteString.copyFromUtf8("x".repeat(60))));
			}
			return record.build();
		}

		void receive(IntentReply reply, long nowNanos) {
			if (this.crashed || this.outcome != null) {
				return;
			}
			DispatchGate.Decision decision = this.gate.decide(reply, nowNanos);
			if (decision instanceof DispatchGate.Decision.Ignore || decision instanceof DispatchGate.Decision.Retry) {
				return;
			}
			this.decided = true;
			this.mayDispatch = decision instanceof DispatchGate.Decision.Dispatch;
			boolean report = (decision instanceof DispatchGate.Decision.NotRun notRun && notRun.report())
					|| (decision instanceof DispatchGate.Decision.Replay replay && replay.report());
			if (report) {
				this.outcome = RecordState.NOT_RUN;
			}
		}

	}

}
