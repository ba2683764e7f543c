package io.balsamlane.router.forwarding;

import java.util.Arrays;
import java.util.Optional;

import io.balsamlane.core.forwarding.CallerIdentity;
import io.balsamlane.core.forwarding.Customer;
import io.balsamlane.core.forwarding.ForwardingConfiguration;
import io.balsamlane.core.forwarding.ForwardingRoute;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;

/**
 * Sender of one request. It is identified when the head of the request has been read, and
 * again whenever another configuration is in force before the request is sent to a
 * server.
 */
final class RequestCaller {

	private final ForwardingState state;

	private final ForwardingDialect dialect;

	private final HttpServerRequest request;

	private final ForwardingRoute route;

	private CallerIdentity identity;

	/** Version of the configuration that {@link #identity} is based on. */
	private long version;

	private Optional<Customer> customer = Optional.empty();

	/**
	 * Whether the caller's credentials were meant for the router. They remain so if a
	 * later configuration has no customers.
	 */
	private boolean credentialsWithheld;

	private RequestCaller(ForwardingState state, ForwardingDialect dialect, HttpServerRequest request,
			ForwardingRoute route) {
		this.state = state;
		this.dialect = dialect;
		this.request = request;
		this.route = route;
	}

	/**
	 * Identify the sender of a request.
	 * @param state provides the configuration in force, which must be present
	 * @param dialect reads the caller's key and writes the customer's name
	 * @param request the request
	 * @param route its route in the configuration in force
	 * @return the caller
	 */
	static RequestCaller identify(ForwardingState state, ForwardingDialect dialect, HttpServerRequest request,
			ForwardingRoute route) {
		RequestCaller caller = new RequestCaller(state, dialect, request, route);
		caller.update();
		return caller;
	}

	/**
	 * Return the result of identifying the caller by the configuration in force.
	 * @return the result
	 */
	CallerIdentity identity() {
		update();
		return this.identity;
	}

	/**
	 * Return whether the configuration in force lets the caller send the request.
	 * @return false if the request needs a key and has no valid one
	 */
	boolean allowed() {
		return identity().allowed();
	}

	/**
	 * Return the customer that the request is attributed to.
	 * @return the customer by which the request was last allowed, empty if there is none
	 */
	Optional<Customer> customer() {
		return this.customer;
	}

	/**
	 * Return the priority of the request.
	 * @return the customer's priority, or that of the route; 0 is the highest
	 */
	int priority() {
		return this.customer.map((known) -> known.priority(this.route)).orElse(this.route.priority());
	}

	/**
	 * Write the headers that identify the caller to a server.
	 * @param to headers of the request to the server, with the forwarded ones
	 */
	void writeHeaders(MultiMap to) {
		if (this.credentialsWithheld) {
			this.dialect.replaceCredentials(to, this.customer.map(Customer::id));
		}
	}

	/**
	 * Add the customer's name to the fields of a log line.
	 * @param fields alternating names and values
	 * @return the fields, with the name if the request is attributed to a customer
	 */
	Object[] logFields(Object... fields) {
		if (this.customer.isEmpty()) {
			return fields;
		}
		Object[] extended = Arrays.copyOf(fields, fields.length + 2);
		extended[fields.length] = "customer";
		extended[fields.length + 1] = this.customer.get().id();
		return extended;
	}

	private void update() {
		ForwardingConfiguration configuration = this.state.configuration().orElseThrow();
		if (this.identity != null && this.version == configuration.version()) {
			return;
		}
		ForwardingRoute current = configuration.route(this.request.authority().host(), this.request.path())
			.orElse(this.route);
		this.identity = configuration.identify(current, this.dialect.bearerKey(this.request.headers()));
		this.version = configuration.version();
		this.credentialsWithheld |= !this.identity.forwardsCredentials();
		if (this.identity.allowed()) {
			this.customer = this.identity.customer();
		}
	}

}
