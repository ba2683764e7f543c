package io.balsamlane.router.admin;

import java.util.Objects;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * HTTP response of the operator port.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body
 * @param body the response body
 */
record OperatorResponse(int status, String contentType, String body) {

	OperatorResponse {
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

	static OperatorResponse text(int status, String body) {
		return new OperatorResponse(status, "text/plain; charset=utf-8", body);
	}

	static OperatorResponse json(int status, JsonObject json) {
		return new OperatorResponse(status, "application/json", json.encode());
	}

	static OperatorResponse message(MessageOrBuilder message) {
		try {
			return new OperatorResponse(200, "application/json", JsonFormat.printer().print(message));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("Protobuf message cannot be converted to JSON", ex);
		}
	}

	static OperatorResponse error(int status, String kind, String message, String remedy) {
		return json(status, new JsonObject().put("kind", kind).put("message", message).put("remedy", remedy));
	}

	void send(HttpServerResponse response) {
		if (!response.ended() && !response.closed()) {
			response.setStatusCode(this.status).putHeader("content-type", this.contentType).end(this.body);
		}
	}

}
