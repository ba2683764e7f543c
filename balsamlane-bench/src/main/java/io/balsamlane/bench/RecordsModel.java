package io.balsamlane.bench;

import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import io.balsamlane.core.records.RecordAction;
import io.balsamlane.core.records.ShardLimits;
import io.balsamlane.core.records.ShardWriter;
import io.balsamlane.core.records.StoreAnswer;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.RecordState;
import io.balsamlane.schema.StoredAnswer;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Model of calls, shard writers and the store in virtual time, in microseconds.
 */
final class RecordsModel {

	private static final int SHARDS = 32;

	private static final int WRITERS = 7;

	private static final long STORE_SLOT_MICROS = 2000;

	private static final long STORE_MIN_MICROS = 2000;

	private static final int STORE_SPREAD_MICROS = 4000;

	/** One-way latency between data centres. */
	private static final long PEER_MICROS = 1500;

	private static final long SERVICE_MICROS = 5000;

	private static final long TICK_MICROS = 2000;

	private static final long DEADLINE_MICROS = 5_000_000;

	private static final int ANSWER_BYTES = 120;

	private final Mechanism mechanism;

	private final int callsPerSecond;

	private final long endMicros;

	private final UniformRandomProvider random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));

	private final List<ShardWriter> shardWriters;

	private final Map<String, Stored> store = new HashMap<>();

	private final Map<Long, Call> calls = new HashMap<>();

	private final Histogram added = new Histogram(3);

	private long nowMicros;

	private long order;

	private long storeFreeMicros;

	private long nextVersion = 1;

	private long nextTicket;

	private long writes;

	private long reads;

	private long refused;

	private int largestValueBytes;

	private RecordsModel(Mechanism mechanism, int callsPerSecond, int seconds, long seed) {
		this.mechanism = mechanism;
		this.callsPerSecond = callsPerSecond;
		this.endMicros = seconds * 1_000_000L;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.shardWriters = IntStream.range(0, SHARDS)
			.mapToObj((shard) -> ShardWriter.create(shard, ShardLimits.of(125, 3_600_000, 2000, 500), this.random))
			.toList();
	}

	static RecordsModel create(Mechanism mechanism, int callsPerSecond, int seconds, long seed) {
		return new RecordsModel(mechanism, callsPerSecond, seconds, seed);
	}

	void run() {
		if (this.mechanism == Mechanism.SHARD_GROUP_COMMIT) {
			IntStream.range(0, SHARDS).forEach((shard) -> {
				perform(shard, this.shardWriters.get(shard).acquire(nanos(), epochMillis()));
				tick(shard);
			});
		}
		arrive();
		while (!this.events.isEmpty() && this.events.peek().atMicros() < this.endMicros) {
			Event event = this.events.poll();
			this.nowMicros = event.atMicros();
			event.action().run();
		}
	}

	private void arrive() {
		Call call = new Call(this.random.nextLong(), this.nowMicros);
		long gapMicros = (long) (-Math.log(1 - this.random.nextDouble()) * 1e6 / this.callsPerSecond);
		after(gapMicros, this::arrive);
		switch (this.mechanism) {
			case ONE_KEY -> sequence(call, 1, 1);
			// Grant of a lease and claim of the key, then outcome and release of the
			// lease.
			case KEY_LEASE -> sequence(call, 2, 2);
			default -> after(peerMicros(), () -> submit(call, true));
		}
	}

	private void sequence(Call call, int writesBefore, int writesAfter) {
		if (writesBefore == 0) {
			decided(call, IntentReply.Result.CREATED);
			after(SERVICE_MICROS, () -> IntStream.range(0, writesAfter).forEach((number) -> storeWriteMicros()));
			return;
		}
		after(storeWriteMicros(), () -> sequence(call, writesBefore - 1, writesAfter));
	}

	private void submit(Call call, boolean intent) {
		int shard = Math.floorMod(call.key(), SHARDS);
		long ticket = this.nextTicket++;
		this.calls.put(ticket, call);
		CallRecord.Builder record = CallRecord.newBuilder()
			.setKeyHash(hash(call.key()))
			.setCallHash(hash(call.key()))
			.setDispatcherHost("router-" + Math.floorMod(call.key() >> 8, WRITERS))
			.setDispatchNonce(call.key())
			.setState(intent ? RecordState.INTENT : RecordState.COMPLETED);
		if (!intent) {
			record.setAnswer(
					StoredAnswer.newBuilder().setStatus(200).setBody(ByteString.copyFrom(new byte[ANSWER_BYTES])));
		}
		ShardWriter writer = this.shardWriters.get(shard);
		perform(shard, intent ? writer.intent(ticket, record.build(), 5000, nanos(), epochMillis())
				: writer.outcome(ticket, record.build(), 5000, nanos(), epochMillis()));
	}

	private void decided(Call call, IntentReply.Result result) {
		if (result == IntentReply.Result.CREATED && this.nowMicros - call.atMicros() <= DEADLINE_MICROS) {
			this.added.recordValue(this.nowMicros - call.atMicros());
		}
		else {
			this.refused++;
		}
	}

	private void perform(int shard, List<RecordAction> actions) {
		for (RecordAction action : actions) {
			if (action instanceof RecordAction.Reply reply) {
				Call call = this.calls.remove(reply.ticket());
				if (!call.dispatched) {
					call.dispatched = true;
					after(peerMicros(), () -> decided(call, reply.reply().getResult()));
					after(SERVICE_MICROS + 2 * PEER_MICROS, () -> submit(call, false));
				}
			}
			else {
				boolean read = action instanceof RecordAction.ReadRegister
						|| action instanceof RecordAction.ReadArchive;
				long micros = read ? storeReadMicros() : storeWriteMicros();
				after(micros, () -> perform(shard, this.shardWriters.get(shard)
					.handleStoreAnswer(execute(shard, action), nanos(), epochMillis())));
			}
		}
	}

	private StoreAnswer execute(int shard, RecordAction action) {
		if (action instanceof RecordAction.ReadRegister) {
			return found("register-" + shard);
		}
		if (action instanceof RecordAction.ReadArchive archive) {
			return found("archive-" + shard + "-" + archive.number());
		}
		if (action instanceof RecordAction.WriteRegister write) {
			return put("register-" + shard, write.value(), write.expectedVersion());
		}
		if (action instanceof RecordAction.CreateArchive create) {
			return put("archive-" + shard + "-" + create.value().getNumber(), create.value(), 0);
		}
		return new StoreAnswer.Written(this.nextVersion++);
	}

	private StoreAnswer found(String key) {
		Stored stored = this.store.get(key);
		return (stored != null) ? new StoreAnswer.Found(stored.value().toByteString(), stored.version())
				: new StoreAnswer.Absent();
	}

	private StoreAnswer put(String key, MessageLite value, long expectedVersion) {
		Stored stored = this.store.get(key);
		if (((stored != null) ? stored.version() : 0) != expectedVersion) {
			return new StoreAnswer.Mismatch();
		}
		this.largestValueBytes = Math.max(this.largestValueBytes, value.getSerializedSize());
		this.store.put(key, new Stored(value, this.nextVersion));
		return new StoreAnswer.Written(this.nextVersion++);
	}

	private void tick(int shard) {
		perform(shard, this.shardWriters.get(shard).tick(nanos(), epochMillis()));
		after(TICK_MICROS, () -> tick(shard));
	}

	private long storeWriteMicros() {
		this.writes++;
		long startMicros = Math.max(this.nowMicros, this.storeFreeMicros);
		this.storeFreeMicros = startMicros + STORE_SLOT_MICROS;
		return startMicros - this.nowMicros + STORE_MIN_MICROS + this.random.nextInt(STORE_SPREAD_MICROS);
	}

	private long storeReadMicros() {
		this.reads++;
		return STORE_MIN_MICROS + this.random.nextInt(STORE_SPREAD_MICROS);
	}

	private long peerMicros() {
		return (this.random.nextInt(WRITERS) == 0) ? 0 : PEER_MICROS;
	}

	private void after(long micros, Runnable action) {
		this.events.add(new Event(this.nowMicros + micros, this.order++, action));
	}

	private long nanos() {
		return this.nowMicros * 1000;
	}

	private long epochMillis() {
		return 1_700_000_000_000L + this.nowMicros / 1000;
	}

	private static ByteString hash(long key) {
		return ByteString.copyFrom(ByteBuffer.allocate(32).putLong(key).putLong(8, key * 31).array());
	}

	Histogram addedMicros() {
		return this.added;
	}

	long writes() {
		return this.writes;
	}

	long reads() {
		return this.reads;
	}

	long refused() {
		return this.refused;
	}

	int largestValueBytes() {
		return this.largestValueBytes;
	}

	/**
	 * Ways to record a call.
	 */
	enum Mechanism {

		/** A key for each call: one write for the intent, one for the outcome. */
		ONE_KEY,

		/** A lease and a key for each call. */
		KEY_LEASE,

		/** One register for each shard, written by group commit. */
		SHARD_GROUP_COMMIT

	}

	private record Event(long atMicros, long order, Runnable action) {
	}

	private record Stored(MessageLite value, long version) {
	}

	private static final class Call {

		private final long key;

		private final long atMicros;

		private boolean dispatched;

		Call(long key, long atMicros) {
			this.key = key;
			this.atMicros = atMicros;
		}

		long key() {
			return this.key;
		}

		long atMicros() {
			return this.atMicros;
		}

	}

}
