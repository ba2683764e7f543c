package io.balsamlane.core.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.balsamlane.core.forwarding.PlacementQueue;
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

	static Policy overload(CustomerUsage usage) {
		return new Policy() {

			private final OverloadQueue<Request> queue = OverloadQueue.create(MAX_WAITING, usage);

			@Override
			public void arrived(Request request, long now) {
				usage.record(Optional.of(request.customerId()), request.tokens(), now * NANOS_PER_MILLI);
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
