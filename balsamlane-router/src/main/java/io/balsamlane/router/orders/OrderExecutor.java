package io.balsamlane.router.orders;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.OrderAction;
import io.balsamlane.core.orders.OrderAction.IssueOrder;
import io.balsamlane.core.orders.OrderEvent;
import io.balsamlane.core.orders.OrderEventHandler;
import io.balsamlane.router.store.LeaseStore;
import io.balsamlane.router.store.StoreLease;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.router.store.StoreWrite;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.EventKind;
import io.vertx.core.Context;
import io.vertx.core.Future;

/**
 * Executes the actions that an order state machine requests, and returns the resulting
 * events to it on the event loop.
 */
final class OrderExecutor {

	private static final Logger logger = System.getLogger(OrderExecutor.class.getName());

	private final Context context;

	private final LeaseStore store;

	private final EngineOrderClient engines;

	private final Timeline timeline;

	private final Function<ServerName, Endpoint> endpoints;

	OrderExecutor(Context context, LeaseStore store, EngineOrderClient engines, Timeline timeline,
			Function<ServerName, Endpoint> endpoints) {
		this.context = context;
		this.store = store;
		this.engines = engines;
		this.timeline = timeline;
		this.endpoints = endpoints;
	}

	void execute(String pool, OrderEventHandler orders, List<OrderAction> actions) {
		actions.forEach((action) -> {
			if (action instanceof OrderAction.RevokeLease revoke) {
				this.store.revokeLease(revoke.lease());
				return;
			}
			answer(pool, action).onSuccess((event) -> this.context.runOnContext((ignored) -> {
				if (event instanceof OrderEvent.HolderWritten written) {
					logger.log(Level.INFO,
							"Started issuing orders to the engines of pool {0}, fencing number {1,number,#}", pool,
							written.version());
				}
				execute(pool, orders, orders.handle(event, System.nanoTime()));
			}));
		});
	}

	private Future<OrderEvent> answer(String pool, OrderAction action) {
		String key = OrderDriver.KEY_PREFIX + pool;
		if (action instanceof OrderAction.ReadHolder read) {
			return this.store.get(key).map((result) -> toEvent(read.call(), result));
		}
		if (action instanceof OrderAction.GrantLease grant) {
			return this.store.grantLease(grant.leaseMillis()).map((result) -> toEvent(grant.call(), result));
		}
		if (action instanceof OrderAction.RenewLease renew) {
			return this.store.renewLease(renew.lease()).map((result) -> toEvent(renew.call(), result));
		}
		if (action instanceof OrderAction.WriteHolder write) {
			return this.store.compareAndSet(key, write.holder().getBytes(StandardCharsets.UTF_8), 0, write.lease())
				.map((result) -> toEvent(write.call(), result));
		}
		if (action instanceof OrderAction.ReadEngine read) {
			return readEngine(read);
		}
		return issue(pool, (IssueOrder) action);
	}

	private static OrderEvent toEvent(long call, StoreRead result) {
		if (result instanceof StoreRead.Found found) {
			return new OrderEvent.HolderFound(call, new String(found.value(), StandardCharsets.UTF_8), found.version());
		}
		return (result instanceof StoreRead.Absent) ? new OrderEvent.HolderAbsent(call)
				: new OrderEvent.StoreFailed(call);
	}

	private static OrderEvent toEvent(long call, StoreLease result) {
		if (result instanceof StoreLease.Granted granted) {
			return new OrderEvent.LeaseGranted(call, granted.lease());
		}
		if (result instanceof StoreLease.Renewed) {
			return new OrderEvent.LeaseRenewed(call);
		}
		return (result instanceof StoreLease.Gone) ? new OrderEvent.LeaseNotFound(call)
				: new OrderEvent.StoreFailed(call);
	}

	private static OrderEvent toEvent(long call, StoreWrite result) {
		if (result instanceof StoreWrite.Written written) {
			return new OrderEvent.HolderWritten(call, written.version());
		}
		if (result instanceof StoreWrite.Mismatch) {
			return new OrderEvent.HolderRefused(call);
		}
		return (result instanceof StoreWrite.LeaseGone) ? new OrderEvent.LeaseNotFound(call)
				: new OrderEvent.StoreFailed(call);
	}

	private Future<OrderEvent> readEngine(OrderAction.ReadEngine read) {
		Endpoint endpoint = this.endpoints.apply(read.engine());
		if (endpoint == null) {
			return Future.succeededFuture(new OrderEvent.EngineReadFailed(read.call()));
		}
		return this.engines.readState(endpoint)
			.map((result) -> (result instanceof StateAnswer.Read answer)
					? new OrderEvent.EngineRead(read.call(), answer.state())
					: new OrderEvent.EngineReadFailed(read.call()));
	}

	private Future<OrderEvent> issue(String pool, IssueOrder issue) {
		Endpoint endpoint = this.endpoints.apply(issue.engine());
		if (endpoint == null) {
			return Future.succeededFuture(new OrderEvent.OrderNotAccepted(issue.call()));
		}
		return this.engines.issue(issue.engine(), endpoint, issue.order(), issue.fencing(), issue.notAfterNanos())
			.map((result) -> {
				record(pool, issue, result);
				return toEvent(issue.call(), result);
			});
	}

	private void record(String pool, IssueOrder issue, OrderAnswer result) {
		if (!(result instanceof OrderAnswer.NotSent)) {
			this.timeline.record(EventKind.ORDER_ISSUED, "", 0, issue.engine().value(),
					"pool " + pool + ", " + issue.order().kind() + " " + issue.order().value() + ", fencing "
							+ issue.fencing() + ": " + result);
		}
		if (!(result instanceof OrderAnswer.Accepted)) {
			logger.log(Level.WARNING,
					"Engine {0} of pool {1} did not confirm an order; its state will be read again: {2}",
					issue.engine(), pool, result);
		}
	}

	private static OrderEvent toEvent(long call, OrderAnswer result) {
		if (result instanceof OrderAnswer.Accepted) {
			return new OrderEvent.OrderAccepted(call);
		}
		if (result instanceof OrderAnswer.Stale) {
			return new OrderEvent.OrderStale(call);
		}
		return (result instanceof OrderAnswer.Undecided) ? new OrderEvent.OrderOutcomeUnknown(call)
				: new OrderEvent.OrderNotAccepted(call);
	}

}
