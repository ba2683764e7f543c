package io.balsamlane.router.configuration;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.balsamlane.core.configuration.ConfigurationEditor;
import io.balsamlane.core.configuration.EditResult;
import io.balsamlane.router.store.PlatformStore;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.router.store.StoreWrite;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * Keeps the newest known configuration and submits changes by compare-and-swap.
 */
public final class ConfigurationKeeper {

	/** Key of the configuration in the platform store. */
	public static final String KEY = "balsamlane/configuration";

	private static final Logger logger = System.getLogger(ConfigurationKeeper.class.getName());

	private static final int MAX_SUBMIT_ATTEMPTS = 8;

	private final Vertx vertx;

	private final PlatformStore store;

	private final long retryPauseMillis;

	private final Consumer<Configuration> listener;

	private Configuration applied = Configuration.getDefaultInstance();

	private long storeVersion;

	private boolean running;

	private ConfigurationKeeper(Vertx vertx, PlatformStore store, long retryPauseMillis,
			Consumer<Configuration> listener) {
		this.vertx = vertx;
		this.store = store;
		this.retryPauseMillis = retryPauseMillis;
		this.listener = listener;
	}

	/**
	 * Creates a keeper.
	 * @param vertx the event loops to use
	 * @param store the platform store
	 * @param retryPauseMillis pause after a failed read, in milliseconds
	 * @param listener receives each configuration that comes into force here
	 * @return the keeper
	 */
	public static ConfigurationKeeper create(Vertx vertx, PlatformStore store, long retryPauseMillis,
			Consumer<Configuration> listener) {
		return new ConfigurationKeeper(vertx, store, retryPauseMillis, listener);
	}

	/**
	 * Starts to watch the store.
	 */
	public void start() {
		this.running = true;
		watch();
	}

	/**
	 * Stops watching.
	 */
	public void stop() {
		this.running = false;
	}

	/**
	 * Returns the configuration in force on this node.
	 * @return the configuration
	 */
	public Configuration applied() {
		return this.applied;
	}

	private void watch() {
		if (!this.running) {
			return;
		}
		this.store.watch(KEY, this.storeVersion).onSuccess((read) -> {
			if (read instanceof StoreRead.Found found) {
				this.storeVersion = found.version();
				offer(found.value());
				watch();
			}
			else if (read instanceof StoreRead.Unavailable unavailable) {
				logger.log(Level.WARNING, "The platform store gives no configuration, the last one stays in force: {0}",
						unavailable.message());
				this.vertx.setTimer(this.retryPauseMillis, (id) -> watch());
			}
			else {
				watch();
			}
		});
	}

	private void offer(byte[] value) {
		try {
			offer(Configuration.parseFrom(value));
		}
		catch (InvalidProtocolBufferException ex) {
			logger.log(Level.ERROR, "The stored configuration cannot be parsed, the last one stays in force", ex);
		}
	}

	/**
	 * Brings a configuration into force if its revision is higher than the present one.
	 * @param configuration the configuration
	 * @return true if it is in force now
	 */
	public boolean offer(Configuration configuration) {
		if (configuration.getRevision() <= this.applied.getRevision()) {
			return false;
		}
		this.applied = configuration;
		this.listener.accept(configuration);
		return true;
	}

	/**
	 * Submits a change. A lost answer of the store is settled by reading the
	 * configuration back.
	 * @param change the change, with its own id
	 * @return the outcome
	 */
	public Future<SubmitResult> submit(Change change) {
		return submit(change, MAX_SUBMIT_ATTEMPTS);
	}

	private Future<SubmitResult> submit(Change change, int attemptsLeft) {
		if (attemptsLeft == 0) {
			return Future.succeededFuture(new SubmitResult.Undecided("the store gave no clear answer"));
		}
		return this.store.get(KEY).compose((read) -> {
			if (read instanceof StoreRead.Unavailable unavailable) {
				return Future.succeededFuture(new SubmitResult.StoreUnavailable(unavailable.message()));
			}
			return edit(read, change, attemptsLeft);
		});
	}

	private Future<SubmitResult> edit(StoreRead read, Change change, int attemptsLeft) {
		try {
			byte[] value = (read instanceof StoreRead.Found found) ? found.value() : new byte[0];
			long version = (read instanceof StoreRead.Found found) ? found.version() : 0;
			EditResult result = ConfigurationEditor.apply(Configuration.parseFrom(value), change,
					System.currentTimeMillis());
			if (result instanceof EditResult.Edited edited) {
				return write(edited.configuration(), version, change, attemptsLeft);
			}
			if (result instanceof EditResult.AlreadyAccepted accepted) {
				return Future.succeededFuture(new SubmitResult.Stored(accepted.revision()));
			}
			return Future.succeededFuture(new SubmitResult.Refused(result));
		}
		catch (InvalidProtocolBufferException ex) {
			return Future.succeededFuture(new SubmitResult.StoreUnavailable("the stored configuration is damaged"));
		}
	}

	private Future<SubmitResult> write(Configuration next, long version, Change change, int attemptsLeft) {
		return this.store.compareAndSet(KEY, next.toByteArray(), version).compose((write) -> {
			if (write instanceof StoreWrite.Written) {
				offer(next);
				return Future.succeededFuture(new SubmitResult.Stored(next.getRevision()));
			}
			if (write instanceof StoreWrite.Rejected rejected) {
				return Future.succeededFuture(new SubmitResult.StoreUnavailable(rejected.message()));
			}
			return submit(change, attemptsLeft - 1);
		});
	}

}
