package io.balsamlane.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Queue of requests that wait for capacity on an engine. Not thread-safe.
 * <p>
 * During a load peak that exceeds the capacity of the engines, requests whose first event
 * can still be on time are placed first, in order of arrival. Requests that will be late
 * use the remaining capacity, so that a peak does not delay every request past its
 * target.
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
	 * @param arrivedNanos the monotonic time of its arrival
	 * @param onTimeUntilNanos latest placement time at which its first event can be on
	 * time
	 * @param refuseAtNanos time at which the request is rejected
	 * @return false if the queue is full
	 */
	public boolean offer(T request, long arrivedNanos, long onTimeUntilNanos, long refuseAtNanos) {
		if (this.entries.size() >= this.maxWaiting) {
			return false;
		}
		this.entries.add(new Entry<>(request, arrivedNanos, onTimeUntilNanos, refuseAtNanos));
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

	private record Entry<T>(T request, long arrivedNanos, long onTimeUntilNanos, long refuseAtNanos) {

		boolean onTime(long nowNanos) {
			return nowNanos - this.onTimeUntilNanos < 0;
		}

	}

}
