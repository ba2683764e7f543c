package io.balsamlane.bench;

import java.util.function.ToIntFunction;

import io.balsamlane.bench.load.ModelCall;
import io.balsamlane.bench.load.ModelTransport;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/**
 * Sends reads of a plain service; an answer is right if the replica names the path that
 * was asked for.
 */
final class ServiceTransport implements ModelTransport {

	private final String service;

	private final String path;

	private final ToIntFunction<ModelCall> routerPorts;

	ServiceTransport(String service, String path, ToIntFunction<ModelCall> routerPorts) {
		this.service = service;
		this.path = path;
		this.routerPorts = routerPorts;
	}

	@Override
	public Runnable send(HttpClient client, ModelCall call, AnswerListener listener) {
		client
			.request(new RequestOptions().setMethod(HttpMethod.GET)
				.setHost("127.0.0.1")
				.setPort(this.routerPorts.applyAsInt(call))
				.setURI("/services/" + this.service + this.path)
				.putHeader("Authorization", "Bearer " + call.token()))
			.compose((request) -> request.send())
			.compose((response) -> response.body().onSuccess((body) -> answered(call, response, body, listener)))
			.onFailure((cause) -> listener.end("broken", false));
		return () -> {
		};
	}

	private void answered(ModelCall call, HttpClientResponse response, Buffer body, AnswerListener listener) {
		if (response.statusCode() == 200) {
			listener.token(body.toString().contains(this.path) ? call.expected() : "");
			listener.end("", false);
		}
		else {
			listener.end("status-" + response.statusCode(), false);
		}
	}

}
