package io.balsamlane.router.admin;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import io.balsamlane.core.model.HostList;
import io.balsamlane.router.RouterState;
import io.balsamlane.router.configuration.ConfigurationManager;
import io.balsamlane.router.metrics.RouterMetrics;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.timeline.EventCollector;
import io.balsamlane.schema.MemberUpdate;
import io.vertx.core.Future;

/**
 * Parts of the daemon that operators can ask.
 *
 * @param state the routes in force
 * @param configuration the configuration in force
 * @param hosts the host list in use
 * @param network the other routers
 * @param events events of all routers
 * @param metrics metrics of this process
 * @param inProgress number of requests in progress
 * @param drain begins an orderly stop of this process
 * @param memberTable every member that this router knows of, with its status
 */
public record OperatorParts(RouterState state, ConfigurationManager configuration, Supplier<HostList> hosts,
		PeerNetwork network, EventCollector events, RouterMetrics metrics, Supplier<Integer> inProgress, Runnable drain,
		Supplier<Future<List<MemberUpdate>>> memberTable) {

	public OperatorParts {
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(hosts, "hosts");
		Objects.requireNonNull(network, "network");
		Objects.requireNonNull(events, "events");
		Objects.requireNonNull(metrics, "metrics");
		Objects.requireNonNull(inProgress, "inProgress");
		Objects.requireNonNull(drain, "drain");
		Objects.requireNonNull(memberTable, "memberTable");
	}

}
