package io.balsamlane.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests that wait until an engine has room. Not safe for use by several threads.
 * <p>
 * It answers a crest in which more requests arrive than engines can hold. Those whose
 * first event can still be on time go first, in the order of their arrival; those that
 * will be late fill what the others leave, so that a crest does not make everybody late.
 *
 * @param <T> a request
 */
public final class PlacementQueue<T> {

	private final int maxWaiting;

	private final List<Entry<T>> entries = new ArrayList<>();

	private PlacementQueue(int maxWaiting) {
		this.maxWaiting = maxWaiting;
	}

	/**
	 * Creates an empty queue.
	 * @param <T> a request
	 * @param maxWaiting most requests that wait
	 * @return the queue
	 */
	public static <T> PlacementQueue<T> create(int maxWaiting) {
		return new PlacementQueue<>(maxWaiting);
	}

	/**
	 * Adds a request.
	 * @param request the request
	 * @param arrivedNanos the monotonic time of its arrival
	 * @param onTimeUntilNanos time until which its first event can be on time
	 * @param giveUpNanos time at which it is refused
	 * @return false if the queue is full
	 */
	public boolean offer(T request, long arrivedNanos, long onTimeUntilNanos, long giveUpNanos) {
		if (this.entries.size() >= this.maxWaiting) {
			return false;
		}
		this.entries.add(new Entry<>(request, arrivedNanos, onTimeUntilNanos, giveUpNanos));
		return true;
	}

	/**
	 * Removes a request.
	 * @param request the request
	 */
	public void remove(T request) {
		this.entries.removeIf((entry) -> entry.request() == request);
	}

	/**
	 * Removes the requests whose time to wait is over.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	public List<T> expired(long nowNanos) {
		List<T> expired = this.entries.stream()
			.filter((entry) -> nowNanos - entry.giveUpNanos() >= 0)
			.map(Entry::request)
			.toList();
		expired.forEach(this::remove);
		return expired;
	}

	/**
	 * Places waiting requests in their order until one finds no room.
	 * @param placer places a request; false if there is no room for it
	 * @param nowNanos the monotonic time
	 */
	public void drain(Placer<T> placer, long nowNanos) {
		List<Entry<T>> onTime = this.entries.stream()
			.filter((entry) -> entry.onTime(nowNanos))
			.sorted(Comparator.comparingLong(Entry::arrivedNanos))
			.toList();
		List<Entry<T>> late = this.entries.stream()
			.filter((entry) -> !entry.onTime(nowNanos))
			.sorted(Comparator.comparingLong(Entry::arrivedNanos))
			.toList();
		if (placeAll(onTime, placer, false)) {
			placeAll(late, placer, true);
		}
	}

	private boolean placeAll(List<Entry<T>> ordered, Placer<T> placer, boolean late) {
		for (Entry<T> entry : ordered) {
			this.entries.remove(entry);
			if (!placer.place(entry.request(), late)) {
				this.entries.add(entry);
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns the number of requests that wait.
	 * @return the size of the queue
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Places requests.
	 *
	 * @param <T> a request
	 */
	@FunctionalInterface
	public interface Placer<T> {

		/**
		 * Places a request.
		 * @param request the request
		 * @param late true if its first event will be late
		 * @return false if there is no room for it
		 */
		boolean place(T request, boolean late);

	}

	private record Entry<T>(T request, long arrivedNanos, long onTimeUntilNanos, long giveUpNanos) {

		boolean onTime(long nowNanos) {
			return nowNanos - this.onTimeUntilNanos < 0;
		}

	}

}
