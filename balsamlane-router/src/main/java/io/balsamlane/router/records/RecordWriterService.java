package io.balsamlane.router.records;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.records.RecordAction;
import io.balsamlane.core.records.ShardLimits;
import io.balsamlane.core.records.ShardWriter;
import io.balsamlane.core.records.StoreAnswer;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.store.PlatformStore;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.IntentRequest;
import io.balsamlane.schema.OutcomeReport;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.Settings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.apache.commons.rng.simple.RandomSource;
import org.jctools.queues.MpscArrayQueue;

/**
 * Runs the shard writers of this router on a single record thread, and replies to the
 * intent requests and outcome reports that routers send to the owner of a shard.
 */
public final class RecordWriterService {

	private static final Logger logger = System.getLogger(RecordWriterService.class.getName());

	private static final int QUEUE_CAPACITY = 8192;

	private static final int OUTCOME_REMAINING_MILLIS = 5000;

	private static final int RETRY_AFTER_MILLIS = 1000;

	private static final long BUSY_PARK_NANOS = 2_000_000;

	private static final long IDLE_PARK_NANOS = 50_000_000;

	private final PeerNetwork network;

	private final RecordStore store;

	private final List<ShardWriter> writers;

	/** Intent requests and outcome reports; they are refused while the queue is full. */
	private final MpscArrayQueue<Runnable> operations = new MpscArrayQueue<>(QUEUE_CAPACITY);

	/** Answers of the store; never overflows, as each writer awaits at most one. */
	private final MpscArrayQueue<Runnable> answers;

	private final Map<Long, Promise<IntentReply>> pendingReplies = new HashMap<>();

	private final Thread thread = new Thread(this::run, "records");

	private MemberView members;

	private long nextTicket;

	private volatile boolean stopped;

	private RecordWriterService(Settings settings, PeerNetwork network, PlatformStore store) {
		this.network = network;
		this.store = new RecordStore(store);
		ShardLimits limits = ShardLimits.of(settings.getRecords().getCommitPauseMillis(),
				settings.getRecords().getRetentionSeconds() * 1000L, settings.getRecords().getOutcomeWaitMillis(),
				settings.getStore().getRetryPauseMillis());
		this.writers = IntStream.range(0, settings.getRecords().getShards())
			.mapToObj((shard) -> ShardWriter.create(shard, limits, RandomSource.XO_RO_SHI_RO_128_PP.create()))
			.toList();
		this.answers = new MpscArrayQueue<>(Math.max(4, 2 * this.writers.size()));
	}

	/**
	 * Create the service and register its message handlers.
	 * @param settings the settings of the daemon
	 * @param network the network of the routers
	 * @param store the platform store
	 * @return the service, not yet started
	 */
	public static RecordWriterService create(Settings settings, PeerNetwork network, PlatformStore store) {
		RecordWriterService service = new RecordWriterService(settings, network, store);
		network.register(PeerMessage.BodyCase.INTENT_REQUEST,
				(from, message) -> service.intent(message.getIntentRequest()));
		network.register(PeerMessage.BodyCase.OUTCOME_REPORT,
				(from, message) -> service.outcome(message.getOutcomeReport()));
		return service;
	}

	/**
	 * Start the record thread.
	 */
	public void start() {
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Stop the record thread.
	 */
	public void stop() {
		this.stopped = true;
		LockSupport.unpark(this.thread);
	}

	private Future<PeerMessage.Builder> intent(IntentRequest request) {
		return submit(request.getShard(), (writer, ticket) -> writer.intent(ticket, request.getRecord(),
				request.getRemainingMillis(), System.nanoTime(), System.currentTimeMillis()));
	}

	private Future<PeerMessage.Builder> outcome(OutcomeReport report) {
		return submit(report.getShard(), (writer, ticket) -> writer.outcome(ticket, report.getRecord(),
				OUTCOME_REMAINING_MILLIS, System.nanoTime(), System.currentTimeMillis()));
	}

	private Future<PeerMessage.Builder> submit(int shard, Operation operation) {
		if (shard < 0 || shard >= this.writers.size()) {
			return Future.succeededFuture(message(refused("shard " + shard
					+ " does not exist on this router; set records.shards to the same value on all hosts")));
		}
		Promise<IntentReply> promise = Promise.promise();
		boolean accepted = this.operations.offer(() -> {
			long ticket = this.nextTicket++;
			this.pendingReplies.put(ticket, promise);
			perform(shard, operation.apply(this.writers.get(shard), ticket));
		});
		LockSupport.unpark(this.thread);
		return accepted ? promise.future().map(RecordWriterService::message)
				: Future.succeededFuture(message(refused("the operation queue of the record thread is full")));
	}

	private static IntentReply refused(String reason) {
		return IntentReply.newBuilder()
			.setResult(IntentReply.Result.REFUSED)
			.setReason(reason)
			.setOtherRunPossible(true)
			.build();
	}

	private static PeerMessage.Builder message(IntentReply reply) {
		return PeerMessage.newBuilder()
			.setIntentReply(reply.toBuilder().setRetryAfterMillis(RETRY_AFTER_MILLIS).build());
	}

	private void run() {
		while (!this.stopped) {
			try {
				boolean busy = runOnce();
				if (this.operations.isEmpty() && this.answers.isEmpty()) {
					LockSupport.parkNanos(this, busy ? BUSY_PARK_NANOS : IDLE_PARK_NANOS);
				}
			}
			catch (RuntimeException ex) {
				logger.log(Level.ERROR, "Step of the record thread failed; continuing with the next step", ex);
			}
		}
	}

	private boolean runOnce() {
		updateOwnership();
		this.answers.drain(Runnable::run);
		this.operations.drain(Runnable::run, QUEUE_CAPACITY);
		for (int shard = 0; shard < this.writers.size(); shard++) {
			perform(shard, this.writers.get(shard).tick(System.nanoTime(), System.currentTimeMillis()));
		}
		return this.writers.stream().anyMatch(ShardWriter::busy);
	}

	private void updateOwnership() {
		MemberView current = this.network.members();
		if (current == this.members) {
			return;
		}
		this.members = current;
		for (int shard = 0; shard < this.writers.size(); shard++) {
			ShardWriter writer = this.writers.get(shard);
			perform(shard, current.owns(shardKey(shard)) ? writer.acquire(System.nanoTime(), System.currentTimeMillis())
					: writer.release());
		}
	}

	static String shardKey(int shard) {
		return "records/" + shard;
	}

	private void perform(int shard, List<RecordAction> actions) {
		for (RecordAction action : actions) {
			if (action instanceof RecordAction.Reply reply) {
				this.pendingReplies.remove(reply.ticket()).complete(reply.reply());
			}
			else {
				this.store.execute(shard, action)
					.otherwise((cause) -> new StoreAnswer.Unavailable(String.valueOf(cause.getMessage())))
					.onSuccess((answer) -> handleAnswer(shard, answer));
			}
		}
	}

	private void handleAnswer(int shard, StoreAnswer answer) {
		this.answers.offer(() -> perform(shard,
				this.writers.get(shard).handleStoreAnswer(answer, System.nanoTime(), System.currentTimeMillis())));
		LockSupport.unpark(this.thread);
	}

	/**
	 * Operation on the writer of a shard.
	 */
	@FunctionalInterface
	private interface Operation {

		List<RecordAction> apply(ShardWriter writer, long ticket);

	}

}
