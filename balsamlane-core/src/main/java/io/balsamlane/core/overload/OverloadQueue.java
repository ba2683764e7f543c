package io.balsamlane.core.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Queue of requests that wait for capacity on an engine, for configurations in which
 * requests differ by customer or priority. Not thread-safe.
 * <p>
 * Requests that can be on time come first, then those of a higher priority, then those of
 * customers within their usual load, then the oldest.
 *
 * @param <T> type of the requests
 */
public final class OverloadQueue<T> {

	/** Excess from which on a customer is treated as beyond its usual load. */
	private static final double MAX_USUAL_EXCESS = 1.7;

	/**
	 * Number of later requests that may be placed before a request that does not fit;
	 * after that it keeps the capacity that becomes free.
	 */
	private static final int MAX_OVERTAKEN = 4;

	/**
	 * Time without capacity for late requests after which they are rejected at once. Load
	 * peaks last 3 to 10 s, so one that has lasted for a second is not over soon.
	 */
	private static final long MAX_LATE_BLOCKED_NANOS = 1_000_000_000L;

	/**
	 * Time for which an unsuccessful attempt to place a late request tells about the
	 * capacity; several times the interval between two attempts.
	 */
	private static final long LATE_ATTEMPT_VALID_NANOS = 200_000_000L;

	private final int maxWaiting;

	private final CustomerUsage usage;

	private final List<Entry<T>> entries = new ArrayList<>();

	private boolean lateBlocked;

	private long lateBlockedSinceNanos;

	private long lateAttemptNanos;

	private OverloadQueue(int maxWaiting, CustomerUsage usage) {
		this.maxWaiting = maxWaiting;
		this.usage = usage;
	}

	/**
	 * Create an empty queue.
	 * @param <T> type of the requests
	 * @param maxWaiting maximum number of waiting requests
	 * @param usage usage of the customers
	 * @return the queue
	 */
	public static <T> OverloadQueue<T> create(int maxWaiting, CustomerUsage usage) {
		return new OverloadQueue<>(maxWaiting, usage);
	}

	/**
	 * Add a request. If the queue is full, the last request in queue order has to leave
	 * it.
	 * @param request the request
	 * @param demand what it needs
	 * @param nowNanos the monotonic time
	 * @return the request to reject, which may be the new one; empty if there is none
	 */
	public Optional<Rejection<T>> offer(T request, Demand demand, long nowNanos) {
		this.entries.add(new Entry<>(request, demand));
		if (this.entries.size() <= this.maxWaiting) {
			return Optional.empty();
		}
		Entry<T> last = ordered(nowNanos).get(this.entries.size() - 1);
		this.entries.remove(last);
		return Optional.of(new Rejection<>(last.request, Rejection.Reason.QUEUE_FULL));
	}

	/**
	 * Remove a request.
	 * @param request the request
	 */
	public void remove(T request) {
		this.entries.removeIf((entry) -> entry.request == request);
	}

	/**
	 * Remove the requests that are not worth a longer wait: their wait has expired, or
	 * they will be late and have no prospect of capacity.
	 * @param nowNanos the monotonic time
	 * @return the removed requests
	 */
	public List<Rejection<T>> removeHopeless(long nowNanos) {
		List<Rejection<T>> rejections = new ArrayList<>();
		for (Entry<T> entry : List.copyOf(this.entries)) {
			reasonToReject(entry.demand, nowNanos).ifPresent((reason) -> {
				this.entries.remove(entry);
				rejections.add(new Rejection<>(entry.request, reason));
			});
		}
		return rejections;
	}

	private Optional<Rejection.Reason> reasonToReject(Demand demand, long nowNanos) {
		if (nowNanos - demand.rejectAtNanos() >= 0) {
			return Optional.of(Rejection.Reason.EXPIRED);
		}
		if (demand.onTime(nowNanos)) {
			return Optional.empty();
		}
		if (isExcessive(demand, nowNanos)) {
			return Optional.of(Rejection.Reason.EXCESS);
		}
		return (isLateBlocked(nowNanos) && nowNanos - this.lateBlockedSinceNanos >= MAX_LATE_BLOCKED_NANOS)
				? Optional.of(Rejection.Reason.NO_PROSPECT) : Optional.empty();
	}

	/**
	 * Place waiting requests in queue order. A request that does not fit is passed over a
	 * limited number of times.
	 * @param placer places a request
	 * @param nowNanos the monotonic time
	 */
	public void drain(Placer<T> placer, long nowNanos) {
		List<Entry<T>> unplaced = new ArrayList<>();
		for (Entry<T> entry : ordered(nowNanos)) {
			if (unplaced.stream().anyMatch((larger) -> larger.blocks(entry))) {
				continue;
			}
			this.entries.remove(entry);
			Standing standing = standing(entry.demand, nowNanos);
			boolean placed = placer.place(entry.request, standing);
			if (standing == Standing.LATE) {
				recordLate(placed, nowNanos);
			}
			if (placed) {
				unplaced.forEach((larger) -> larger.overtaken++);
			}
			else {
				this.entries.add(entry);
				unplaced.add(entry);
			}
		}
	}

	private void recordLate(boolean placed, long nowNanos) {
		if (!placed && !isLateBlocked(nowNanos)) {
			this.lateBlockedSinceNanos = nowNanos;
		}
		this.lateBlocked = !placed;
		this.lateAttemptNanos = nowNanos;
	}

	private boolean isLateBlocked(long nowNanos) {
		return this.lateBlocked && nowNanos - this.lateAttemptNanos <= LATE_ATTEMPT_VALID_NANOS;
	}

	private boolean isExcessive(Demand demand, long nowNanos) {
		return this.usage.excess(demand.customer(), nowNanos) > MAX_USUAL_EXCESS;
	}

	/**
	 * Return the standing of a request.
	 * @param demand what it needs
	 * @param nowNanos the monotonic time
	 * @return the standing
	 */
	public Standing standing(Demand demand, long nowNanos) {
		if (!demand.onTime(nowNanos)) {
			return Standing.LATE;
		}
		return isExcessive(demand, nowNanos) ? Standing.EXCESS : Standing.ON_TIME;
	}

	private List<Entry<T>> ordered(long nowNanos) {
		return this.entries.stream()
			.sorted(Comparator.<Entry<T>, Boolean>comparing((entry) -> !entry.demand.onTime(nowNanos))
				.thenComparingInt((entry) -> entry.demand.priority())
				.thenComparing((entry) -> isExcessive(entry.demand, nowNanos))
				.thenComparingLong((entry) -> entry.demand.arrivedNanos()))
			.toList();
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
		 * @param standing its standing
		 * @return false if there is no capacity for it
		 */
		boolean place(T request, Standing standing);

	}

	private static final class Entry<T> {

		private final T request;

		private final Demand demand;

		private int overtaken;

		Entry(T request, Demand demand) {
			this.request = request;
			this.demand = demand;
		}

		// A request that needs as much cannot be placed either.
		boolean blocks(Entry<T> later) {
			return this.overtaken >= MAX_OVERTAKEN || later.demand.tokens() >= this.demand.tokens();
		}

	}

}
