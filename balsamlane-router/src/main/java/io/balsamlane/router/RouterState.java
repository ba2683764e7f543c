package io.balsamlane.router;

import java.util.function.BooleanSupplier;

import io.balsamlane.core.routing.RouteTable;

/**
 * Shared state of this router: its current routes, and whether it is draining or
 * isolated. The routes are replaced atomically when the configuration or the host list
 * changes. Thread-safe.
 */
public final class RouterState {

	private volatile RouteTable routes;

	private volatile boolean draining;

	private volatile BooleanSupplier isolated = () -> false;

	private RouterState(RouteTable routes) {
		this.routes = routes;
	}

	/**
	 * Create the state.
	 * @param routes the initial routes
	 * @return the state
	 */
	public static RouterState create(RouteTable routes) {
		return new RouterState(routes);
	}

	/**
	 * Return the current routes.
	 * @return the current routes
	 */
	public RouteTable routes() {
		return this.routes;
	}

	void setRoutes(RouteTable routes) {
		this.routes = routes;
	}

	/**
	 * Return whether this process is shutting down.
	 * @return {@code true} once the shutdown has started
	 */
	public boolean draining() {
		return this.draining;
	}

	void setDraining() {
		this.draining = true;
	}

	/**
	 * Return whether this node may be isolated from all other nodes, in which case it
	 * must reject new requests as not run.
	 * @return {@code true} if the node may be isolated
	 */
	public boolean isolated() {
		return this.isolated.getAsBoolean();
	}

	void setIsolated(BooleanSupplier isolated) {
		this.isolated = isolated;
	}

	/**
	 * Return whether this node can serve requests.
	 * @return {@code true} if a configuration has been applied, the process is not
	 * shutting down and the node is not isolated
	 */
	public boolean ready() {
		return this.routes.revision() > 0 && !this.draining && !isolated();
	}

}
