package io.balsamlane.router.engine;

import java.util.function.Consumer;

import io.balsamlane.router.engine.DecodeEvent.Broken;
import io.balsamlane.router.http.InformationalResponses;
import io.balsamlane.router.http.ResponseBodyReader;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;

/**
 * Reads a decode stream and passes its events to a listener. No event follows the one
 * that ends the stream.
 */
final class DecodeStream {

	/** Maximum length of a line that an engine sends, in bytes. */
	private static final int MAX_LINE_BYTES = 65_536;

	private final Consumer<DecodeEvent> listener;

	private HttpClientRequest request;

	private boolean ended;

	DecodeStream(Consumer<DecodeEvent> listener) {
		this.listener = listener;
	}

	void open(HttpClientRequest opened, Buffer body) {
		if (this.ended) {
			opened.reset();
			return;
		}
		this.request = opened;
		opened.exceptionHandler((cause) -> end(new Broken(String.valueOf(cause.getMessage()))));
		InformationalResponses.limit(opened, () -> abort("the engine sent too many informational responses"));
		opened.send(body)
			.onSuccess(this::read)
			.onFailure((cause) -> end(new Broken(String.valueOf(cause.getMessage()))));
	}

	private void read(HttpClientResponse response) {
		if (response.statusCode() != 200) {
			ResponseBodyReader.read(response, HttpEngineClient.MAX_RESPONSE_BYTES)
				.onSuccess((body) -> end(new DecodeEvent.Refused(HttpEngineClient.errorKind(response, body))))
				.onFailure((cause) -> abort(String.valueOf(cause.getMessage())));
			return;
		}
		RecordParser lines = RecordParser.newDelimited("\n", this::readLine);
		lines.maxRecordSize(MAX_LINE_BYTES);
		lines.exceptionHandler((cause) -> abort("the engine sent a line that exceeds the maximum length"));
		response.exceptionHandler((cause) -> end(new Broken(String.valueOf(cause.getMessage()))));
		response.endHandler((done) -> end(new Broken("the stream ended before the answer was complete")));
		response.handler(lines);
	}

	private void readLine(Buffer line) {
		if (this.ended) {
			return;
		}
		try {
			JsonObject json = line.toJsonObject();
			if (json.containsKey("finish")) {
				end(new DecodeEvent.Finished(json.getString("finish"), json.getInteger("offset")));
			}
			else {
				this.listener.accept(new DecodeEvent.Token(json.getInteger("offset"), json.getString("text")));
			}
		}
		catch (DecodeException | ClassCastException | NullPointerException ex) {
			abort("the engine sent a malformed line");
		}
	}

	private void abort(String reason) {
		end(new Broken(reason));
		this.request.reset();
	}

	void end(DecodeEvent event) {
		if (!this.ended) {
			this.ended = true;
			this.listener.accept(event);
		}
	}

	void close() {
		this.ended = true;
		if (this.request != null) {
			this.request.reset();
		}
	}

}
