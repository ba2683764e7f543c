package io.balsamlane.router.store;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Tracks the era of the store, which all of its answers name, and notifies listeners when
 * the store has been restored from a copy. Only answers of the store itself count:
 * routers exchange the era to compare their views, but do not adopt it from each other.
 * Confined to one event loop.
 */
public final class StoreEras {

	private static final Logger logger = System.getLogger(StoreEras.class.getName());

	private final List<Listener> listeners = new ArrayList<>();

	private StoreEra current;

	private StoreEras() {
	}

	/**
	 * Create a tracker that knows no era.
	 * @return the tracker
	 */
	public static StoreEras create() {
		return new StoreEras();
	}

	/**
	 * Return the latest era that the store has named.
	 * @return the era, empty if no answer has named one
	 */
	public Optional<StoreEra> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Return whether the store has been restored since a call was made.
	 * @param knownAtCall the era that was known when the call was made
	 * @return true if what the call referred to is from an earlier era
	 */
	public boolean restoredSince(Optional<StoreEra> knownAtCall) {
		return knownAtCall.filter((era) -> !era.equals(this.current)).isPresent();
	}

	/**
	 * Add a listener. Listeners are notified in the order in which they were added.
	 * @param listener the listener
	 */
	public void addListener(Listener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Record the era of an answer, before its content is used.
	 * @param era the era that the answer names
	 * @param knownAtCall the era that was known when the call was made
	 * @return false if the answer is from before a restoration that is already known, so
	 * that its content must not be used
	 */
	public boolean observe(StoreEra era, Optional<StoreEra> knownAtCall) {
		StoreEra previous = this.current;
		if (previous == null) {
			this.current = era;
			return true;
		}
		// A call that was made after a later era was known cannot be answered from an
		// earlier one, unless the store itself has been replaced.
		boolean replaced = era.compareTo(previous) < 0 && knownAtCall.filter(previous::equals).isPresent();
		if (era.compareTo(previous) < 0 && !replaced) {
			return false;
		}
		if (!era.equals(previous)) {
			this.current = era;
			this.listeners.forEach((listener) -> notify(listener, previous, era));
		}
		return true;
	}

	// One listener's error must not leave the views of the others stale.
	private static void notify(Listener listener, StoreEra previous, StoreEra era) {
		try {
			listener.storeRestored(previous, era);
		}
		catch (RuntimeException ex) {
			logger.log(Level.ERROR, "A listener failed to handle that the store was restored", ex);
		}
	}

	/**
	 * Callback interface for restorations of the store.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Handle the restoration of the store from a copy. The latest writes are lost,
		 * and all that was derived from revisions or leases of the store is invalid.
		 * @param previous the era that was known until now
		 * @param current the era of the store
		 */
		void storeRestored(StoreEra previous, StoreEra current);

	}

}
