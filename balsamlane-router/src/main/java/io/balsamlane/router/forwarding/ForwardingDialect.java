package io.balsamlane.router.forwarding;

import java.util.Optional;

import io.balsamlane.core.forwarding.RequestMetadata;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * How callers and backend servers of a platform mark requests and answers.
 */
public interface ForwardingDialect {

	/**
	 * Reads what a caller declares.
	 * @param headers headers of the request
	 * @return the facts, empty if the request has no id
	 */
	Optional<RequestMetadata> facts(MultiMap headers);

	/**
	 * Writes the headers of a request to a server.
	 * @param from headers of the caller's request
	 * @param to headers of the request to the server
	 * @param server the server that alone may run the request
	 * @param remainingMillis time until the caller gives up
	 */
	void request(MultiMap from, MultiMap to, ServerName server, long remainingMillis);

	/**
	 * Asks for the prompt to be read without generating.
	 * @param to headers of the request to the server
	 */
	void prefillOnly(MultiMap to);

	/**
	 * Names the KV cache from which a request goes on.
	 * @param to headers of the request to the server
	 * @param source server that keeps the cache
	 * @param handle name of the cache
	 */
	void kvSource(MultiMap to, Endpoint source, String handle);

	/**
	 * Names the last event after which a stream goes on.
	 * @param to headers of the request to the server
	 * @param lastEventId id of the event
	 */
	void resumeAfter(MultiMap to, long lastEventId);

	/**
	 * Reads the result of a prefill.
	 * @param body body of the answer
	 * @return name of the KV cache, empty if the body is not such a result
	 */
	Optional<String> handle(Buffer body);

	/**
	 * Returns the target that frees a KV cache.
	 * @param handle name of the cache
	 * @return path of a DELETE request
	 */
	String handlePath(String handle);

	/**
	 * Tells whether a server states that it did not and will not run a request.
	 * @param status status of the answer
	 * @param headers headers of the answer
	 * @return true if it does
	 */
	boolean notRun(int status, MultiMap headers);

	/**
	 * Tells whether an answer comes from another server than the one that was asked.
	 * @param status status of the answer
	 * @return true if the address belongs to another server now
	 */
	boolean misdirected(int status);

	/**
	 * Tells whether an answer is a genuine one to a request.
	 * @param status status of the answer
	 * @param headers headers of the answer
	 * @param requestId id of the request
	 * @return the reason why it is not, empty if it is
	 */
	Optional<String> defect(int status, MultiMap headers, String requestId);

	/**
	 * Tells whether an answer comes from a server.
	 * @param headers headers of the answer
	 * @return true if it bears a server's signature
	 */
	boolean signed(MultiMap headers);

}
