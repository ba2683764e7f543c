package io.balsamlane.router.forwarding;

import java.util.HashMap;
import java.util.Map;

import io.balsamlane.core.forwarding.PlacementQueue;
import io.balsamlane.core.forwarding.QueueDeadlines;
import io.vertx.core.Vertx;

/**
 * Streams that wait for room on the engines of their service.
 */
final class WaitingStreams {

	/** Bound of one service's queue; beyond it a request would wait for its deadline. */
	private static final int MAX_WAITING = 200;

	/** Others' work changes without notice to the queue, so it looks again. */
	private static final long POLL_MILLIS = 15;

	private final Vertx vertx;

	private final Map<String, PlacementQueue<StreamExchange>> queues = new HashMap<>();

	private boolean scheduled;

	WaitingStreams(Vertx vertx) {
		this.vertx = vertx;
	}

	/**
	 * Tells whether streams of a service wait already.
	 * @param service name of the service
	 * @return true if a new one has to wait behind them
	 */
	boolean anyWaiting(String service) {
		PlacementQueue<StreamExchange> queue = this.queues.get(service);
		return queue != null && queue.size() > 0;
	}

	/**
	 * Lets a stream wait.
	 * @param service name of its service
	 * @param stream the stream
	 * @param arrivedNanos the monotonic time of its arrival
	 * @param times bounds of its wait
	 * @return false if too many wait
	 */
	boolean add(String service, StreamExchange stream, long arrivedNanos, QueueDeadlines times) {
		boolean added = this.queues.computeIfAbsent(service, (name) -> PlacementQueue.create(MAX_WAITING))
			.offer(stream, arrivedNanos, times.onTimeUntilNanos(), times.refuseAtNanos());
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
				this.queues.values().forEach(this::drain);
				schedule();
			});
		}
	}

	private void drain(PlacementQueue<StreamExchange> queue) {
		queue.removeExpired(System.nanoTime()).forEach(StreamExchange::waitedInVain);
		queue.drain(StreamExchange::place, System.nanoTime());
	}

}
