package io.balsamlane.router.records;

import java.util.HexFormat;

import com.google.protobuf.InvalidProtocolBufferException;
import io.balsamlane.router.store.PlatformStore;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.router.store.StoreWrite;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.vertx.core.Future;

/**
 * Keeps each record under a key of its own: two writes for each call.
 */
public final class SingleKeyIntentService implements IntentService {

	private static final String PREFIX = "balsamlane/call/";

	private static final int RETRY_AFTER_MILLIS = 2000;

	private static final int MAX_ATTEMPTS = 4;

	private final PlatformStore store;

	private SingleKeyIntentService(PlatformStore store) {
		this.store = store;
	}

	/**
	 * Creates the service.
	 * @param store the platform store
	 * @return the service
	 */
	public static SingleKeyIntentService create(PlatformStore store) {
		return new SingleKeyIntentService(store);
	}

	@Override
	public Future<IntentReply> create(CallRecord intent) {
		return this.store.compareAndSet(key(intent), intent.toByteArray(), 0).compose((write) -> {
			if (write instanceof StoreWrite.Written) {
				return reply(IntentReply.Result.CREATED, intent, "");
			}
			if (write instanceof StoreWrite.Rejected rejected) {
				return reply(IntentReply.Result.REFUSED, intent, rejected.message());
			}
			return readBack(intent);
		});
	}

	private Future<IntentReply> readBack(CallRecord intent) {
		return this.store.get(key(intent)).compose((read) -> {
			if (!(read instanceof StoreRead.Found found)) {
				return reply(IntentReply.Result.UNDECIDED, intent, "the store gave no clear answer");
			}
			CallRecord record = parse(found.value());
			if (record.getState() == io.balsamlane.schema.RecordState.NOT_RUN) {
				return replace(intent, found.version());
			}
			boolean own = record.getDispatcherHost().equals(intent.getDispatcherHost())
					&& record.getDispatchNonce() == intent.getDispatchNonce();
			return reply(own ? IntentReply.Result.CREATED : IntentReply.Result.EXISTS, record, "");
		});
	}

	private Future<IntentReply> replace(CallRecord intent, long version) {
		return this.store.compareAndSet(key(intent), intent.toByteArray(), version)
			.compose((write) -> (write instanceof StoreWrite.Written) ? reply(IntentReply.Result.CREATED, intent, "")
					: readBack(intent));
	}

	@Override
	public Future<Boolean> report(CallRecord outcome) {
		return report(outcome, MAX_ATTEMPTS);
	}

	private Future<Boolean> report(CallRecord outcome, int attemptsLeft) {
		if (attemptsLeft == 0) {
			return Future.succeededFuture(false);
		}
		return this.store.get(key(outcome)).compose((read) -> {
			if (!(read instanceof StoreRead.Found found)) {
				return report(outcome, attemptsLeft - 1);
			}
			return this.store.compareAndSet(key(outcome), outcome.toByteArray(), found.version())
				.compose((write) -> (write instanceof StoreWrite.Written) ? Future.succeededFuture(true)
						: report(outcome, attemptsLeft - 1));
		});
	}

	private static CallRecord parse(byte[] value) {
		try {
			return CallRecord.parseFrom(value);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A call record in the platform store is damaged", ex);
		}
	}

	private static Future<IntentReply> reply(IntentReply.Result result, CallRecord record, String reason) {
		return Future.succeededFuture(IntentReply.newBuilder()
			.setResult(result)
			.setRecord(record)
			.setReason(reason)
			.setRetryAfterMillis(RETRY_AFTER_MILLIS)
			.build());
	}

	private static String key(CallRecord record) {
		return PREFIX + HexFormat.of().formatHex(record.getKeyHash().toByteArray());
	}

}
