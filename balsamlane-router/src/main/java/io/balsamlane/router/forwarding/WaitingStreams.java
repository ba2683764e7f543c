package io.balsamlane.router.forwarding;

import java.util.HashMap;
import java.util.Map;

import io.balsamlane.core.forwarding.PlacementQueue;
import io.balsamlane.core.forwarding.QueueDeadlines;
import io.vertx.core.Vertx;

/**
 * Queues of streams that wait for free capacity on the engines of their service.
 */
final class WaitingStreams {

	/**
	 * Maximum length of a service's queue; in a longer queue a request would wait until
	 * its deadline.
	 */
	private static final int MAX_WAITING = 200;

	/** The queue is not notified of changes to other routers' work, so it polls. */
	private static final long POLL_MILLIS = 15;

	private final Vertx vertx;

	private final Map<String, PlacementQueue<StreamExchange>> queues = new HashMap<>();

	private boolean scheduled;

	WaitingStreams(Vertx vertx) {
		this.vertx = vertx;
	}

	/**
	 * Return whether a new stream has to queue behind waiting ones of the same service.
	 * @param service name of the service
	 * @param priority priority of the new stream, 0 being the highest
	 * @return true if a stream of the same or a higher priority is waiting
	 */
	boolean anyAhead(String service, int priority) {
		PlacementQueue<StreamExchange> queue = this.queues.get(service);
		return queue != null && queue.anyAhead(priority);
	}

	/**
	 * Add a stream to the queue of its service.
	 * @param service name of its service
	 * @param stream the stream
	 * @param priority its priority, 0 being the highest
	 * @param arrivedNanos time of its arrival on the monotonic clock, in nanoseconds
	 * @param times deadlines of its wait
	 * @return false if the queue is full
	 */
	boolean add(String service, StreamExchange stream, int priority, long arrivedNanos, QueueDeadlines times) {
		boolean added = this.queues.computeIfAbsent(service, (name) -> PlacementQueue.create(MAX_WAITING))
			.offer(stream, priority, arrivedNanos, times.onTimeUntilNanos(), times.refuseAtNanos());
		schedule();
		return added;
	}

	void remove(String service, StreamExchange stream) {
		PlacementQueue<StreamExchange> queue = this.queues.get(service);
		if (queue != null) {
			queue.remove(stream);
		}
	}

	int size() {
		return this.queues.values().stream().mapToInt(PlacementQueue::size).sum();
	}

	private void schedule() {
		if (!this.scheduled && size() > 0) {
			this.scheduled = true;
			this.vertx.setTimer(POLL_MILLIS, (id) -> {
				this.scheduled = false;
				try {
					this.queues.values().forEach(this::drain);
				}
				finally {
					schedule();
				}
			});
		}
	}

	private void drain(PlacementQueue<StreamExchange> queue) {
		queue.removeExpired(System.nanoTime()).forEach(StreamExchange::waitExpired);
		queue.drain(StreamExchange::place, System.nanoTime());
	}

}
