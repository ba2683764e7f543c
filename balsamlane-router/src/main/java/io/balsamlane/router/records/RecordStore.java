package io.balsamlane.router.records;

import com.google.protobuf.ByteString;
import io.balsamlane.core.records.RecordAction;
import io.balsamlane.core.records.StoreAnswer;
import io.balsamlane.router.store.PlatformStore;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.router.store.StoreWrite;
import io.vertx.core.Future;

/**
 * Executes the actions of shard writers against the platform store.
 */
final class RecordStore {

	private static final String KEY_PREFIX = "balsamlane/records/";

	private final PlatformStore store;

	RecordStore(PlatformStore store) {
		this.store = store;
	}

	Future<StoreAnswer> execute(int shard, RecordAction action) {
		if (action instanceof RecordAction.ReadRegister) {
			return read(KEY_PREFIX + shard);
		}
		if (action instanceof RecordAction.ReadArchive archive) {
			return read(archiveKey(shard, archive.number()));
		}
		if (action instanceof RecordAction.WriteRegister write) {
			return this.store.compareAndSet(KEY_PREFIX + shard, write.value().toByteArray(), write.expectedVersion())
				.map(RecordStore::toAnswer);
		}
		if (action instanceof RecordAction.CreateArchive create) {
			return this.store
				.compareAndSet(archiveKey(shard, create.value().getNumber()), create.value().toByteArray(), 0)
				.map(RecordStore::toAnswer);
		}
		return this.store.delete(archiveKey(shard, ((RecordAction.DeleteArchive) action).number()))
			.map(RecordStore::toAnswer);
	}

	private static String archiveKey(int shard, long number) {
		return KEY_PREFIX + shard + "/archive/" + number;
	}

	private Future<StoreAnswer> read(String key) {
		return this.store.get(key).map((read) -> {
			if (read instanceof StoreRead.Found found) {
				return new StoreAnswer.Found(ByteString.copyFrom(found.value()), found.version());
			}
			return (read instanceof StoreRead.Absent) ? new StoreAnswer.Absent()
					: new StoreAnswer.Unavailable(read.toString());
		});
	}

	private static StoreAnswer toAnswer(StoreWrite write) {
		if (write instanceof StoreWrite.Written written) {
			return new StoreAnswer.Written(written.version());
		}
		if (write instanceof StoreWrite.Mismatch) {
			return new StoreAnswer.Mismatch();
		}
		return (write instanceof StoreWrite.Rejected rejected) ? new StoreAnswer.Rejected(rejected.message())
				: new StoreAnswer.Unavailable(write.toString());
	}

}
