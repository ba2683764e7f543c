package io.balsamlane.router.metrics;

import java.util.Locale;

import io.balsamlane.router.store.PlatformStore;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.router.store.StoreWrite;
import io.vertx.core.Future;

/**
 * {@link PlatformStore} decorator that reports each operation to the metrics.
 */
public final class MeteredPlatformStore implements PlatformStore {

	private final PlatformStore store;

	private final RouterMetrics metrics;

	private MeteredPlatformStore(PlatformStore store, RouterMetrics metrics) {
		this.store = store;
		this.metrics = metrics;
	}

	/**
	 * Wrap the given store.
	 * @param store the store to delegate to
	 * @param metrics the metrics that count the calls
	 * @return the store that reports to the metrics
	 */
	public static PlatformStore of(PlatformStore store, RouterMetrics metrics) {
		return new MeteredPlatformStore(store, metrics);
	}

	@Override
	public Future<StoreRead> get(String key) {
		long startNanos = System.nanoTime();
		return this.store.get(key)
			.onSuccess((read) -> this.metrics.storeCalled("get", outcome(read), System.nanoTime() - startNanos,
					!(read instanceof StoreRead.Unavailable)));
	}

	@Override
	public Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion) {
		long startNanos = System.nanoTime();
		return this.store.compareAndSet(key, value, expectedVersion)
			.onSuccess((write) -> this.metrics.storeCalled("compare_and_set", outcome(write),
					System.nanoTime() - startNanos, !(write instanceof StoreWrite.Undecided)));
	}

	@Override
	public Future<StoreWrite> delete(String key) {
		long startNanos = System.nanoTime();
		return this.store.delete(key)
			.onSuccess((write) -> this.metrics.storeCalled("delete", outcome(write), System.nanoTime() - startNanos,
					!(write instanceof StoreWrite.Undecided)));
	}

	@Override
	public Future<StoreRead> watch(String key, long afterVersion) {
		return this.store.watch(key, afterVersion)
			.onSuccess((read) -> this.metrics.storeWatched("watch", outcome(read),
					!(read instanceof StoreRead.Unavailable)));
	}

	private static String outcome(Object result) {
		return result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
	}

}
