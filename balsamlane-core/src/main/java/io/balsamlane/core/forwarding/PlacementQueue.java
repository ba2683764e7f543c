package io.balsamlane.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for capacity on an engine. Not thread-safe.
 * <p>
 * During a load peak that exceeds the capacity of the engines, requests whose first event
 * can still be on time are placed first, by priority and then in order of arrival.
 * Requests that will be late use the remaining capacity, so that a peak does not delay
 * every request past its target.
 *
 * @param <T> type of the requests
 */
public final class PlacementQueue<T> {

	private final int maxWaiting;

	private final List<Entry<T>> entries = new ArrayList<>();

	private PlacementQueue(int maxWaiting) {
		this.maxWaiting = maxWaiting;
	}

	/**
	 * Create an empty queue.
	 * @param <T> type of the requests
	 * @param maxWaiting maximum number of waiting requests
	 * @return the queue
	 */
	public static <T> PlacementQueue<T> create(int maxWaiting) {
		return new PlacementQueue<>(maxWaiting);
	}

	/**
	 * Add a request.
	 * @param request the request
	 * @param priority priority of the request, 0 being the highest
	 * @param arrivedNanos the monotonic time of its arrival
	 * @param onTimeUntilNanos latest placement time at which its first event can be on
	 * time
	 * @param refuseAtNanos time at which the request is rejected
	 * @return false if the queue is full
	 */
	public boolean offer(T request, int priority, long arrivedNanos, long onTimeUntilNanos, long refuseAtNanos) {
		if (this.entries.size() >= this.maxWaiting) {
			return false;
		}
		this.entries.add(new Entry<>(request, priority, arrivedNanos, onTimeUntilNanos, refuseAtNanos));
		return true;
	}

	/**
	 * Remove a request.
	 * @param request the request
	 */
	public void remove(T request) {
		this.entries.removeIf((entry) -> entry.request() == request);
	}

	/**
	 * Remove the requests whose wait has expired.
	 * @param nowNanos the monotonic time
	 * @return the removed requests
	 */
	public List<T> removeExpired(long nowNanos) {
		List<T> expired = this.entries.stream()
			.filter((entry) -> nowNanos - entry.refuseAtNanos() >= 0)
			.map(Entry::request)
			.toList();
		expired.forEach(this::remove);
		return expired;
	}

	/**
	 * Place waiting requests in queue order until one cannot be placed.
	 * @param placer places a request; returns false if there is no capacity for it
	 * @param nowNanos the monotonic time
	 */
	public void drain(Placer<T> placer, long nowNanos) {
		if (placeAll(ordered((entry) -> entry.onTime(nowNanos)), placer, false)) {
			placeAll(ordered((entry) -> !entry.onTime(nowNanos)), placer, true);
		}
	}

	private List<Entry<T>> ordered(Predicate<Entry<T>> filter) {
		return this.entries.stream()
			.filter(filter)
			.sorted(Comparator.<Entry<T>>comparingInt(Entry::priority).thenComparingLong(Entry::arrivedNanos))
			.toList();
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
	 * Return whether a new request has to queue behind waiting ones.
	 * @param priority priority of the new request
	 * @return true if a request of the same or a higher priority is waiting
	 */
	public boolean anyAhead(int priority) {
		return this.entries.stream().anyMatch((entry) -> entry.priority() <= priority);
	}

	/**
	 * Return the number of waiting requests.
	 * @return the size of the queue
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Places requests on engines.
	 *
	 * @param <T> type of the requests
	 */
	@FunctionalInterface
	public interface Placer<T> {

		/**
		 * Place a request.
		 * @param request the request
		 * @param late true if its first event will be late
		 * @return false if there is no capacity for it
		 */
		boolean place(T request, boolean late);

	}

	private record Entry<T>(T request, int priority, long arrivedNanos, long onTimeUntilNanos, long refuseAtNanos) {

		boolean onTime(long nowNanos) {
			return nowNanos - this.onTimeUntilNanos < 0;
		}

	}

}
