package io.balsamlane.router.http;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Response that has been read completely.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the body
 */
public record ReceivedResponse(int status, MultiMap headers, Buffer body) {
}
