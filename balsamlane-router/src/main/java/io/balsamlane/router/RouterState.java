package io.balsamlane.router;

import java.util.function.BooleanSupplier;

import io.balsamlane.core.routing.RouteTable;

/**
 * The routes in force on this node, replaced as a whole when the configuration or the
 * host list changes. Safe for use by several threads.
 */
public final class RouterState {

	private volatile RouteTable routes;

	private volatile boolean draining;

	private volatile BooleanSupplier isolated = () -> false;

	private RouterState(RouteTable routes) {
		this.routes = routes;
	}

	/**
	 * Creates the state.
	 * @param routes the first routes
	 * @return the state
	 */
	public static RouterState create(RouteTable routes) {
		return new RouterState(routes);
	}

	/**
	 * Returns the routes in force.
	 * @return the routes
	 */
	public RouteTable routes() {
		return this.routes;
	}

	void setRoutes(RouteTable routes) {
		this.routes = routes;
	}

	/**
	 * Tells whether this process is shutting down.
	 * @return true once it has begun to
	 */
	public boolean draining() {
		return this.draining;
	}

	void setDraining() {
		this.draining = true;
	}

	/**
	 * Tells whether this node may be cut off from all others, so that it must refuse new
	 * work as not run.
	 * @return true if it may be
	 */
	public boolean isolated() {
		return this.isolated.getAsBoolean();
	}

	void setIsolated(BooleanSupplier isolated) {
		this.isolated = isolated;
	}

	/**
	 * Tells whether this node can serve requests.
	 * @return true once a configuration is in force, the process is not shutting down and
	 * the node is not isolated
	 */
	public boolean ready() {
		return this.routes.revision() > 0 && !this.draining && !isolated();
	}

}
