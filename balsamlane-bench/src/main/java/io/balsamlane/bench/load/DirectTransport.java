package io.balsamlane.bench.load;

import java.util.List;

import io.balsamlane.core.model.Endpoint;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;

/**
 * Sends prefill and decode calls directly to engines in round-robin order. Serves as the
 * baseline for the overhead that a router adds.
 */
public final class DirectTransport implements ModelTransport {

	private final List<Endpoint> prefill;

	private final List<Endpoint> decode;

	private DirectTransport(List<Endpoint> prefill, List<Endpoint> decode) {
		this.prefill = List.copyOf(prefill);
		this.decode = List.copyOf(decode);
	}

	/**
	 * Create a transport.
	 * @param prefill engines that prefill
	 * @param decode engines that decode
	 * @return the transport
	 */
	public static DirectTransport create(List<Endpoint> prefill, List<Endpoint> decode) {
		return new DirectTransport(prefill, decode);
	}

	@Override
	public Runnable send(HttpClient client, ModelCall call, AnswerListener listener) {
		Endpoint source = this.prefill.get(call.index() / 2 % this.prefill.size());
		Endpoint target = this.decode.get(call.index() / 2 % this.decode.size());
		String attempt = "direct-" + call.index() + "-" + call.dueNanos();
		JsonObject order = new JsonObject().put("attempt", attempt)
			.put("model", call.model())
			.put("prompt", call.prompt())
			.put("priority", 0);
		client.request(options(source, "/v1/prefill"))
			.compose((request) -> request.send(order.toBuffer()))
			.compose((response) -> response.body().map((body) -> prefilled(response, body)))
			.onFailure((cause) -> listener.end("broken", false))
			.onSuccess((kv) -> {
				if (kv.isEmpty()) {
					listener.end("prefill-refused", true);
				}
				else {
					decode(client, call, attempt, source, target, listener);
				}
			});
		return () -> List.of(source, target)
			.forEach((engine) -> client.request(options(engine, "/v1/cancel"))
				.onSuccess((request) -> request.send(new JsonObject().put("attempt", attempt).toBuffer())));
	}

	private static String prefilled(HttpClientResponse response, Buffer body) {
		return (response.statusCode() == 200) ? body.toJsonObject().getString("kv") : "";
	}

	private void decode(HttpClient client, ModelCall call, String attempt, Endpoint source, Endpoint target,
			AnswerListener listener) {
		JsonObject order = new JsonObject().put("attempt", attempt)
			.put("model", call.model())
			.put("kvFrom", source.toString())
			.put("kv", attempt)
			.put("promptTokens", call.promptTokens())
			.put("maxTokens", call.maxTokens())
			.put("offset", 0)
			.put("priority", 0);
		client.request(options(target, "/v1/decode"))
			.compose((request) -> request.send(order.toBuffer()).onSuccess((response) -> read(response, listener)))
			.onFailure((cause) -> listener.end("broken", false));
	}

	private static void read(HttpClientResponse response, AnswerListener listener) {
		if (response.statusCode() != 200) {
			listener.end("decode-refused", false);
			return;
		}
		response.handler(RecordParser.newDelimited("\n", (line) -> {
			JsonObject json = line.toJsonObject();
			if (json.containsKey("finish")) {
				listener.end("", false);
			}
			else {
				listener.token(json.getString("text"));
			}
		}));
	}

	private static RequestOptions options(Endpoint engine, String uri) {
		return new RequestOptions().setMethod(HttpMethod.POST)
			.setHost(engine.address())
			.setPort(engine.port())
			.setURI(uri);
	}

}
