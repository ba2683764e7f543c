package io.balsamlane.router.engine;

import java.util.function.Consumer;

import io.balsamlane.router.http.InformationalResponses;
import io.balsamlane.router.http.ResponseBodyReader;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Runs a prefill request and passes at most one result to a listener.
 */
final class PrefillExchange {

	private final Consumer<PrefillResult> listener;

	private HttpClientRequest request;

	private boolean ended;

	PrefillExchange(Consumer<PrefillResult> listener) {
		this.listener = listener;
	}

	void open(HttpClientRequest opened, Buffer content) {
		if (this.ended) {
			opened.reset();
			return;
		}
		this.request = opened;
		opened.exceptionHandler((cause) -> end(new PrefillResult.Broken(String.valueOf(cause.getMessage()))));
		InformationalResponses.limit(opened, () -> abort("the engine sent too many informational responses"));
		opened.send(content)
			.compose((response) -> ResponseBodyReader.read(response, HttpEngineClient.MAX_RESPONSE_BYTES)
				.map((body) -> toResult(response, body)))
			.onSuccess(this::end)
			.onFailure((cause) -> abort(String.valueOf(cause.getMessage())));
	}

	private static PrefillResult toResult(HttpClientResponse response, Buffer body) {
		if (response.statusCode() != 200) {
			return new PrefillResult.Refused(HttpEngineClient.errorKind(response, body));
		}
		try {
			JsonObject json = body.toJsonObject();
			return new PrefillResult.Ready(json.getString("kv"), json.getInteger("tokens"),
					json.getInteger("reusedTokens", 0));
		}
		catch (DecodeException | ClassCastException | NullPointerException ex) {
			return new PrefillResult.Broken("the engine sent a malformed answer");
		}
	}

	private void abort(String reason) {
		end(new PrefillResult.Broken(reason));
		this.request.reset();
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
