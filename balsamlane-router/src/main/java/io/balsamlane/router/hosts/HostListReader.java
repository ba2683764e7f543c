package io.balsamlane.router.hosts;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.router.http.BoundedHttpClient;
import io.balsamlane.router.http.RequestIdClients;
import io.balsamlane.router.json.UntrustedJson;
import io.balsamlane.schema.HostListSettings;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

/**
 * Polls the host list at a fixed interval and passes each changed list to a listener. A
 * poll that is due while the previous one is in progress is skipped, so that lists arrive
 * in the order in which they were requested.
 */
public final class HostListReader {

	private static final Logger logger = System.getLogger(HostListReader.class.getName());

	/** Maximum size of the list. */
	private static final int MAX_RESPONSE_BYTES = 4 << 20;

	private static final int MIN_TIMEOUT_MILLIS = 1000;

	private static final int STATUS_OK = 200;

	private final Vertx vertx;

	private final HostListSettings settings;

	private final BoundedHttpClient client;

	private final Consumer<HostList> listener;

	private final AtomicBoolean polling = new AtomicBoolean();

	private HostList previous = HostList.empty();

	private long timer = -1;

	private HostListReader(Vertx vertx, HostListSettings settings, Consumer<HostList> listener) {
		this.vertx = vertx;
		this.settings = settings;
		this.listener = listener;
		this.client = BoundedHttpClient.of(RequestIdClients.create(vertx), MAX_RESPONSE_BYTES);
	}

	/**
	 * Create a reader.
	 * @param vertx the event loops to use
	 * @param settings the URL and poll interval of the host list
	 * @param listener receives each list that differs from the previous one
	 * @return the reader
	 */
	public static HostListReader create(Vertx vertx, HostListSettings settings, Consumer<HostList> listener) {
		return new HostListReader(vertx, settings, listener);
	}

	/**
	 * Start polling.
	 */
	public void start() {
		poll();
		this.timer = this.vertx.setPeriodic(this.settings.getPollMillis(), (id) -> poll());
	}

	/**
	 * Stop polling.
	 */
	public void stop() {
		this.vertx.cancelTimer(this.timer);
	}

	private void poll() {
		if (!this.polling.compareAndSet(false, true)) {
			return;
		}
		this.client
			.call(new RequestOptions().setMethod(HttpMethod.GET).setAbsoluteURI(this.settings.getUrl()),
					Buffer.buffer(), Math.max(MIN_TIMEOUT_MILLIS, this.settings.getPollMillis()))
			.compose((response) -> (response.status() == STATUS_OK) ? Future.succeededFuture(parse(response.body()))
					: Future.failedFuture("status " + response.status()))
			.onComplete(this::handleResult);
	}

	private void handleResult(AsyncResult<HostList> result) {
		try {
			if (result.succeeded()) {
				notifyIfChanged(result.result());
			}
			else {
				logger.log(Level.WARNING, "The host list cannot be read; keeping the previous list: {0}",
						result.cause().getMessage());
			}
		}
		finally {
			this.polling.set(false);
		}
	}

	private void notifyIfChanged(HostList hosts) {
		if (!hosts.equals(this.previous)) {
			this.previous = hosts;
			this.listener.accept(hosts);
		}
	}

	static HostList parse(Buffer body) {
		List<BackendServer> servers = new ArrayList<>();
		List<RouterHost> routers = new ArrayList<>();
		for (Buffer element : UntrustedJson.objectsOf(body)) {
			try {
				JsonObject host = UntrustedJson.object(element);
				if (host.getString("kind").equals("router")) {
					routers.add(toRouter(host));
				}
				else {
					servers.add(toServer(host));
				}
			}
			catch (RuntimeException ex) {
				// Other programs may write entries too.
				logger.log(Level.WARNING, "An entry of the host list cannot be read and is ignored: {0}", ex);
			}
		}
		return new HostList(servers, routers);
	}

	private static BackendServer toServer(JsonObject host) {
		BackendServer.Kind kind = host.getString("kind").equals("engine") ? BackendServer.Kind.ENGINE
				: BackendServer.Kind.SERVICE;
		return new BackendServer(ServerName.of(host.getString("host")), kind, host.getString("name"),
				Place.of(host.getString("place")), host.getString("region"), endpoint(host), isLeaving(host));
	}

	private static RouterHost toRouter(JsonObject host) {
		return new RouterHost(HostName.of(host.getString("host")), Place.of(host.getString("place")), endpoint(host),
				isLeaving(host));
	}

	private static Endpoint endpoint(JsonObject host) {
		// A typed getter would truncate a larger number to a valid port.
		return Endpoint.of(host.getString("address"), Math.toIntExact(host.getLong("port")));
	}

	private static boolean isLeaving(JsonObject host) {
		return "leaving".equals(host.getString("state"));
	}

}
