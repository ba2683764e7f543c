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
 * Components of the daemon that serve operator requests.
 *
 * @param state the state of this router, with its current routes
 * @param configuration the component that applies and submits configurations
 * @param hosts supplies the current host list
 * @param network the network of routers
 * @param events collects events from all routers
 * @param metrics the metrics of this process
 * @param inProgress supplies the number of caller requests in progress
 * @param drain starts a graceful shutdown of this process
 * @param memberTable supplies all members known to this router, with their status
 */
public record AdminContext(RouterState state, ConfigurationManager configuration, Supplier<HostList> hosts,
		PeerNetwork network, EventCollector events, RouterMetrics metrics, Supplier<Integer> inProgress, Runnable drain,
		Supplier<Future<List<MemberUpdate>>> memberTable) {

	public AdminContext {
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
