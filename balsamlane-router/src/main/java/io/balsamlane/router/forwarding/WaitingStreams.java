package io.balsamlane.router.forwarding;

import java.util.HashMap;
import java.util.Map;

import io.balsamlane.core.forwarding.PlacementQueue;
import io.balsamlane.core.forwarding.QueueDeadlines;
import io.balsamlane.core.overload.CustomerUsage;
import io.balsamlane.core.overload.Demand;
import io.balsamlane.core.overload.OverloadQueue;
import io.balsamlane.core.overload.Standing;
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

	private final Map<String, OverloadQueue<StreamExchange>> overloadQueues = new HashMap<>();

	private final CustomerUsage usage;

	private boolean scheduled;

	WaitingStreams(Vertx vertx, CustomerUsage usage) {
		this.vertx = vertx;
		this.usage = usage;
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

	/**
	 * Return the standing of a stream of a service with an overload rule.
	 * @param service name of its service
	 * @param demand what it needs
	 * @return the standing
	 */
	Standing standing(String service, Demand demand) {
		return overloadQueue(service).standing(demand, System.nanoTime());
	}

	/**
	 * Add a stream to the queue of a service with an overload rule.
	 * @param service name of its service
	 * @param stream the stream
	 * @param demand what it needs
	 */
	void add(String service, StreamExchange stream, Demand demand) {
		overloadQueue(service).offer(stream, demand, System.nanoTime())
			.ifPresent((rejection) -> rejection.request().waitRejected(rejection.reason()));
		schedule();
	}

	private OverloadQueue<StreamExchange> overloadQueue(String service) {
		return this.overloadQueues.computeIfAbsent(service, (name) -> OverloadQueue.create(MAX_WAITING, this.usage));
	}

	void remove(String service, StreamExchange stream) {
		OverloadQueue<StreamExchange> overloadQueue = this.overloadQueues.get(service);
		if (overloadQueue != null) {
			overloadQueue.remove(stream);
		}
		PlacementQueue<StreamExchange> queue = this.queues.get(service);
		if (queue != null) {
			queue.remove(stream);
		}
	}

	int size() {
		return this.queues.values().stream().mapToInt(PlacementQueue::size).sum()
				+ this.overloadQueues.values().stream().mapToInt(OverloadQueue::size).sum();
	}

	private void schedule() {
		if (!this.scheduled && size() > 0) {
			this.scheduled = true;
			this.vertx.setTimer(POLL_MILLIS, (id) -> {
				this.scheduled = false;
				try {
					this.queues.values().forEach(this::drain);
					this.overloadQueues.values().forEach(this::drain);
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

	private void drain(OverloadQueue<StreamExchange> queue) {
		queue.removeHopeless(System.nanoTime())
			.forEach((rejection) -> rejection.request().waitRejected(rejection.reason()));
		queue.drain(StreamExchange::place, System.nanoTime());
	}

}
