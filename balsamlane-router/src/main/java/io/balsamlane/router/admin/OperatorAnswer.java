package io.balsamlane.router.admin;

import java.util.Objects;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * Answer of the operator port.
 *
 * @param status HTTP status code
 * @param contentType media type of the body
 * @param body the body
 */
record OperatorAnswer(int status, String contentType, String body) {

	OperatorAnswer {
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

	static OperatorAnswer text(int status, String body) {
		return new OperatorAnswer(status, "text/plain; charset=utf-8", body);
	}

	static OperatorAnswer json(int status, JsonObject json) {
		return new OperatorAnswer(status, "application/json", json.encode());
	}

	static OperatorAnswer message(MessageOrBuilder message) {
		try {
			return new OperatorAnswer(200, "application/json", JsonFormat.printer().print(message));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A message of the schema cannot be printed", ex);
		}
	}

	static OperatorAnswer error(int status, String kind, String message, String remedy) {
		return json(status, new JsonObject().put("kind", kind).put("message", message).put("remedy", remedy));
	}

	void send(HttpServerResponse response) {
		if (!response.ended() && !response.closed()) {
			response.setStatusCode(this.status).putHeader("content-type", this.contentType).end(this.body);
		}
	}

}
