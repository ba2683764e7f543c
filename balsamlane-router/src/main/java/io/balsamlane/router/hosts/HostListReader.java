package io.balsamlane.router.hosts;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.schema.HostListSettings;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Reads the host list at a fixed interval and passes each change on.
 */
public final class HostListReader {

	private static final Logger logger = System.getLogger(HostListReader.class.getName());

	private final Vertx vertx;

	private final HostListSettings settings;

	private final HttpClient client;

	private final Consumer<HostList> listener;

	private HostList last = HostList.empty();

	private long timer = -1;

	private HostListReader(Vertx vertx, HostListSettings settings, Consumer<HostList> listener) {
		this.vertx = vertx;
		this.settings = settings;
		this.listener = listener;
		this.client = vertx.createHttpClient();
	}

	/**
	 * Creates a reader.
	 * @param vertx the event loops to use
	 * @param settings address and interval
	 * @param listener receives each list that differs from the one before
	 * @return the reader
	 */
	public static HostListReader create(Vertx vertx, HostListSettings settings, Consumer<HostList> listener) {
		return new HostListReader(vertx, settings, listener);
	}

	/**
	 * Starts reading.
	 */
	public void start() {
		read();
		this.timer = this.vertx.setPeriodic(this.settings.getPollMillis(), (id) -> read());
	}

	/**
	 * Stops reading.
	 */
	public void stop() {
		this.vertx.cancelTimer(this.timer);
	}

	private void read() {
		this.client.request(new RequestOptions().setMethod(HttpMethod.GET).setAbsoluteURI(this.settings.getUrl()))
			.compose((request) -> request.send())
			.compose((response) -> response.body())
			.timeout(Math.max(1000, this.settings.getPollMillis()), TimeUnit.MILLISECONDS)
			.map((body) -> parse(body.toJsonArray()))
			.onSuccess(this::publish)
			.onFailure((cause) -> logger.log(Level.WARNING,
					"The host list cannot be read, the last one stays in use: {0}", cause.getMessage()));
	}

	private void publish(HostList hosts) {
		if (!hosts.equals(this.last)) {
			this.last = hosts;
			this.listener.accept(hosts);
		}
	}

	static HostList parse(JsonArray json) {
		List<JsonObject> hosts = json.stream().map((item) -> (JsonObject) item).toList();
		return new HostList(
				hosts.stream()
					.filter((host) -> !host.getString("kind").equals("router"))
					.map(HostListReader::server)
					.toList(),
				hosts.stream()
					.filter((host) -> host.getString("kind").equals("router"))
					.map(HostListReader::router)
					.toList());
	}

	private static BackendServer server(JsonObject host) {
		BackendServer.Kind kind = host.getString("kind").equals("engine") ? BackendServer.Kind.ENGINE
				: BackendServer.Kind.SERVICE;
		return new BackendServer(ServerName.of(host.getString("host")), kind, host.getString("name"),
				Place.of(host.getString("place")), host.getString("region"), endpoint(host), leaving(host));
	}

	private static RouterHost router(JsonObject host) {
		return new RouterHost(HostName.of(host.getString("host")), Place.of(host.getString("place")), endpoint(host),
				leaving(host));
	}

	private static Endpoint endpoint(JsonObject host) {
		return Endpoint.of(host.getString("address"), host.getInteger("port"));
	}

	private static boolean leaving(JsonObject host) {
		return "leaving".equals(host.getString("state"));
	}

}
