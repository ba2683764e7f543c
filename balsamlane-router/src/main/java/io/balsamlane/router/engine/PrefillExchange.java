package io.balsamlane.router.engine;

import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * One prefill call; yields at most one result.
 */
final class PrefillExchange {

	private final Consumer<PrefillResult> listener;

	private HttpClientRequest request;

	private boolean ended;

	PrefillExchange(Consumer<PrefillResult> listener) {
		this.listener = listener;
	}

	void open(HttpClientRequest opened, Buffer order) {
		if (this.ended) {
			opened.reset();
			return;
		}
		this.request = opened;
		opened.exceptionHandler((cause) -> end(new PrefillResult.Broken(String.valueOf(cause.getMessage()))));
		opened.send(order)
			.compose((response) -> response.body().map((body) -> result(response, body)))
			.onSuccess(this::end)
			.onFailure((cause) -> end(new PrefillResult.Broken(String.valueOf(cause.getMessage()))));
	}

	private static PrefillResult result(HttpClientResponse response, Buffer body) {
		if (response.statusCode() != 200) {
			return new PrefillResult.Refused(HttpEngineClient.kind(response, body));
		}
		try {
			JsonObject json = body.toJsonObject();
			return new PrefillResult.Ready(json.getString("kv"), json.getInteger("tokens"),
					json.getInteger("reusedTokens", 0));
		}
		catch (DecodeException | ClassCastException | NullPointerException ex) {
			return new PrefillResult.Broken("the engine sent an answer that is not understood");
		}
	}

	void end(PrefillResult result) {
		if (!this.ended) {
			this.ended = true;
			this.listener.accept(result);
		}
	}

	void close() {
		boolean open = !this.ended;
		this.ended = true;
		if (open && this.request != null) {
			this.request.reset();
		}
	}

}
