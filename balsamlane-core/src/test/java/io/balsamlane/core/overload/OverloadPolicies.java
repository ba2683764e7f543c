package io.balsamlane.core.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.balsamlane.core.forwarding.PlacementQueue;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.overload.OverloadSimulation.Placer;
import io.balsamlane.core.overload.OverloadSimulation.Policy;
import io.balsamlane.core.overload.OverloadSimulation.Request;

/**
 * Policies that the tests compare.
 */
final class OverloadPolicies {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int MAX_WAITING = 200;

	private OverloadPolicies() {
	}

	/** The queue that is used without customers. */
	static Policy today() {
		return new Policy() {

			private final PlacementQueue<Request> queue = PlacementQueue.create(MAX_WAITING);

			@Override
			public void arrived(Request request, long now) {
			}

			@Override
			public boolean behind(Request request, long now) {
				return this.queue.anyAhead(request.route);
			}

			@Override
			public boolean placeArrival(Request request, Placer placer, long now) {
				return placer.place(request, OverloadSimulation.MEMORY);
			}

			@Override
			public Optional<Request> offer(Request request, long now) {
				Demand demand = request.demand(now);
				return this.queue.offer(request, demand.priority(), demand.arrivedNanos(), demand.onTimeUntilNanos(),
						demand.rejectAtNanos()) ? Optional.empty() : Optional.of(request);
			}

			@Override
			public List<Request> expired(long now) {
				return this.queue.removeExpired(now * NANOS_PER_MILLI);
			}

			@Override
			public void drain(Placer placer, long now) {
				this.queue.drain(
						(request, late) -> placer.place(request,
								late ? OverloadSimulation.LATE_MEMORY : OverloadSimulation.MEMORY),
						now * NANOS_PER_MILLI);
			}

			@Override
			public int size() {
				return this.queue.size();
			}
		};
	}

	static Policy firstComeFirstServed() {
		return new SortedPolicy(false);
	}

	static Policy equalShares() {
		return new SortedPolicy(true);
	}

	/**
	 * Return the policy under test. Each router receives the requests that others have
	 * recorded with the delay of the reports.
	 */
	static Policy overload(FleetReports fleet) {
		return new Policy() {

			private final CustomerUsage usage = fleet.join();

			private final OverloadQueue<Request> queue = OverloadQueue.create(MAX_WAITING, this.usage);

			@Override
			public void arrived(Request request, long now) {
				fleet.deliver(now);
				this.usage.record(Optional.of(request.customerId()), request.tokens(), now * NANOS_PER_MILLI);
				fleet.report(this.usage, request.customerId(), request.tokens(), now);
			}

			@Override
			public boolean behind(Request request, long now) {
				return false;
			}

			@Override
			public boolean placeArrival(Request request, Placer placer, long now) {
				return place(request, this.queue.standing(request.demand(now), now * NANOS_PER_MILLI), placer, now);
			}

			private boolean place(Request request, Standing standing, Placer placer, long now) {
				PlacementLimits limits = PlacementLimits.of(standing, request.route,
						OverloadSimulation.TARGET_MILLIS[0]);
				if (standing != Standing.LATE) {
					double left = request.arrivedMillis + request.targetMillis() - now - request.aloneMillis();
					limits = new PlacementLimits(limits.maxFill(), Math.round(Math.min(limits.maxQueueMillis(), left)),
							limits.minFreeShare());
				}
				return placer.place(request, limits);
			}

			@Override
			public Optional<Request> offer(Request request, long now) {
				return this.queue.offer(request, request.demand(now), now * NANOS_PER_MILLI).map(Rejection::request);
			}

			@Override
			public List<Request> expired(long now) {
				return this.queue.removeHopeless(now * NANOS_PER_MILLI).stream().map(Rejection::request).toList();
			}

			@Override
			public void drain(Placer placer, long now) {
				this.queue.drain((request, standing) -> place(request, standing, placer, now), now * NANOS_PER_MILLI);
			}

			@Override
			public int size() {
				return this.queue.size();
			}
		};
	}

	/** Reports of the customers' requests from each router to all others. */
	static final class FleetReports {

		/** Two reports of up to 700 ms through collectors. */
		private static final long DELAY_MILLIS = 1000;

		private final boolean connected;

		private final List<CustomerUsage> routers = new ArrayList<>();

		private final Deque<Report> inTransit = new ArrayDeque<>();

		FleetReports(boolean connected) {
			this.connected = connected;
		}

		CustomerUsage join() {
			CustomerUsage usage = CustomerUsage.create();
			this.routers.add(usage);
			return usage;
		}

		void report(CustomerUsage from, CustomerId customer, long tokens, long now) {
			if (this.connected) {
				this.inTransit.add(new Report(from, customer, tokens, now + DELAY_MILLIS));
			}
		}

		void deliver(long now) {
			while (!this.inTransit.isEmpty() && this.inTransit.peek().atMillis() <= now) {
				Report report = this.inTransit.poll();
				this.routers.stream()
					.filter((router) -> router != report.from())
					.forEach((router) -> router.recordReported(report.customer(), report.tokens(),
							now * NANOS_PER_MILLI));
			}
		}

		private record Report(CustomerUsage from, CustomerId customer, long tokens, long atMillis) {
		}

	}

	private static final class SortedPolicy implements Policy {

		private final boolean equalShares;

		private final List<Request> waiting = new ArrayList<>();

		private final Map<Integer, Double> served = new HashMap<>();

		SortedPolicy(boolean equalShares) {
			this.equalShares = equalShares;
		}

		@Override
		public void arrived(Request request, long now) {
		}

		@Override
		public boolean behind(Request request, long now) {
			return !this.waiting.isEmpty();
		}

		@Override
		public boolean placeArrival(Request request, Placer placer, long now) {
			boolean placed = placer.place(request, OverloadSimulation.MEMORY);
			if (placed) {
				this.served.merge(request.customer, (double) request.tokens(), Double::sum);
			}
			return placed;
		}

		@Override
		public Optional<Request> offer(Request request, long now) {
			if (this.waiting.size() >= MAX_WAITING) {
				return Optional.of(request);
			}
			this.waiting.add(request);
			return Optional.empty();
		}

		@Override
		public List<Request> expired(long now) {
			List<Request> expired = this.waiting.stream()
				.filter((request) -> request.demand(now).rejectAtNanos() <= now * NANOS_PER_MILLI)
				.toList();
			this.waiting.removeAll(expired);
			return expired;
		}

		@Override
		public void drain(Placer placer, long now) {
			Comparator<Request> order = Comparator.comparingDouble((request) -> request.sentMillis);
			if (this.equalShares) {
				order = Comparator
					.<Request>comparingDouble((request) -> this.served.getOrDefault(request.customer, 0.0))
					.thenComparing(order);
			}
			while (!this.waiting.isEmpty()) {
				Request first = this.waiting.stream().min(order).orElseThrow();
				this.waiting.remove(first);
				if (!placeArrival(first, placer, now)) {
					this.waiting.add(first);
					return;
				}
			}
		}

		@Override
		public int size() {
			return this.waiting.size();
		}

	}

}
