package io.balsamlane.cli;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Access to the operator ports of the routers that {@code --server} names. Each call
 * waits for its answer; when one router does not answer, the next is asked.
 */
final class RouterClient {

	private static final int CONNECT_TIMEOUT_MILLIS = 2000;

	private static final int CALL_TIMEOUT_MILLIS = 8000;

	private static final int OK = 200;

	private static final int NOT_OK = 300;

	private final HttpClient client;

	private final List<URI> servers;

	private final String key;

	private RouterClient(HttpClient client, List<URI> servers, String key) {
		this.client = client;
		this.servers = servers;
		this.key = key;
	}

	/**
	 * Creates a client.
	 * @param vertx the event loops to use
	 * @param servers base addresses separated by commas
	 * @param key the shared key, empty if there is none
	 * @return the client
	 */
	static RouterClient create(Vertx vertx, String servers, String key) {
		// The validator checks one response of each connection.
		HttpClient client = vertx.httpClientBuilder()
			.with(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setKeepAlive(false))
			.withConnectHandler((connection) -> ((ConnectionBase) connection).channel()
				.pipeline()
				.addFirst(new ResponseHeadValidator()))
			.build();
		return new RouterClient(client, Stream.of(servers.split(",")).map(String::trim).map(RouterClient::url).toList(),
				key);
	}

	private static URI url(String text) {
		try {
			URI uri = URI.create(text);
			if ("http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0) {
				return uri;
			}
		}
		catch (IllegalArgumentException ex) {
			// Reported below with the same remedy.
		}
		throw CommandException.usage("--server \"" + text + "\" is not a URL; use http://ADDRESS:PORT[,...]");
	}

	List<URI> servers() {
		return this.servers;
	}

	/**
	 * Reads a message from the first router that answers.
	 * @param path path below {@code /admin/v1/}
	 * @param builder receives the fields
	 * @param <T> type of the builder
	 * @return the builder
	 */
	<T extends Message.Builder> T read(String path, T builder) {
		return parse(require(get(path)), builder);
	}

	/**
	 * Reads a JSON object from the first router that answers.
	 * @param path path below {@code /admin/v1/}
	 * @return the object
	 */
	JsonObject readJson(String path) {
		return require(get(path)).json();
	}

	Answer get(String path) {
		return firstAnswer(HttpMethod.GET, path, Buffer.buffer());
	}

	Answer post(String path, Message message) {
		return firstAnswer(HttpMethod.POST, path, body(message));
	}

	private Answer firstAnswer(HttpMethod method, String path, Buffer body) {
		List<String> failures = new ArrayList<>();
		for (URI server : this.servers) {
			CallResult result = call(server, method, path, body);
			if (result.answer().isPresent()) {
				return result.answer().get();
			}
			failures.add(server + " (" + result.failure() + ")");
		}
		throw CommandException.unreachable("No router answered: " + String.join(", ", failures)
				+ "; name another router with --server or BALSAMLANE_SERVER");
	}

	/**
	 * Asks one router.
	 * @param server the router
	 * @param path path below {@code /admin/v1/}
	 * @return the answer, empty if it does not answer
	 */
	Optional<Answer> getFrom(URI server, String path) {
		return call(server, HttpMethod.GET, path, Buffer.buffer()).answer();
	}

	/**
	 * Sends a message to one router.
	 * @param server the router
	 * @param path path below {@code /admin/v1/}
	 * @param message the message
	 * @return the answer, empty if it does not answer
	 */
	Optional<Answer> postTo(URI server, String path, Message message) {
		return call(server, HttpMethod.POST, path, body(message)).answer();
	}

	private static Buffer body(Message message) {
		try {
			return Buffer.buffer(JsonFormat.printer().print(message));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A message of the schema cannot be printed", ex);
		}
	}

	private CallResult call(URI server, HttpMethod method, String path, Buffer body) {
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost(server.getHost())
			.setPort(server.getPort())
			.setURI("/admin/v1/" + path);
		if (!this.key.isEmpty()) {
			options.putHeader("Authorization", "Bearer " + this.key);
		}
		// The steps are nested, so that each is attached on the event loop before the
		// next event can arrive. In a flat chain built by this thread the whole answer
		// could pass before its body is asked for, and the call would end in its timeout.
		Future<Answer> answer = this.client.request(options)
			.compose((request) -> request.send(body)
				.compose((response) -> response.body()
					.map((received) -> new Answer(response.statusCode(), received.toString()))));
		try {
			return new CallResult(Optional
				.of(answer.toCompletionStage().toCompletableFuture().get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)),
					"");
		}
		catch (ExecutionException ex) {
			return new CallResult(Optional.empty(), String.valueOf(ex.getCause().getMessage()));
		}
		catch (TimeoutException ex) {
			return new CallResult(Optional.empty(), "no answer in " + CALL_TIMEOUT_MILLIS + " ms");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new CallResult(Optional.empty(), "interrupted");
		}
	}

	/**
	 * Requires a successful answer.
	 * @param answer the answer
	 * @return the same answer
	 * @throws CommandException with the router's message and remedy otherwise
	 */
	static Answer require(Answer answer) {
		if (answer.status() >= OK && answer.status() < NOT_OK) {
			return answer;
		}
		throw CommandException.refused(answer.explanation());
	}

	static <T extends Message.Builder> T parse(Answer answer, T builder) {
		try {
			JsonFormat.parser().ignoringUnknownFields().merge(answer.body(), builder);
			return builder;
		}
		catch (InvalidProtocolBufferException ex) {
			throw CommandException.unreachable("The answer is not one of a router: " + ex.getMessage()
					+ "; name the operator port of a router with --server");
		}
	}

	private record CallResult(Optional<Answer> answer, String failure) {
	}

	/**
	 * Answer of a router.
	 *
	 * @param status HTTP status code
	 * @param body JSON text
	 */
	record Answer(int status, String body) {

		boolean done() {
			return this.status >= OK && this.status < NOT_OK;
		}

		JsonObject json() {
			try {
				return new JsonObject(this.body);
			}
			catch (DecodeException ex) {
				return new JsonObject().put("kind", "status-" + this.status)
					.put("message", "The answer is not one of a router")
					.put("remedy", "Name the operator port of a router with --server");
			}
		}

		String kind() {
			return json().getString("kind", "");
		}

		String explanation() {
			JsonObject json = json();
			return json.getString("message", "status " + this.status) + " (" + kind() + "). "
					+ json.getString("remedy", "See docs/OPERATIONS.md");
		}

	}

}
