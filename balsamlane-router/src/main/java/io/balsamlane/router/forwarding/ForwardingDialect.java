package io.balsamlane.router.forwarding;

import java.util.Optional;

import io.balsamlane.core.forwarding.RequestMetadata;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Strategy interface for the conventions of a platform: the headers, statuses and bodies
 * by which its callers and backend servers annotate requests and responses.
 */
public interface ForwardingDialect {

	/**
	 * Return the name of the header that carries the id of a request, and which servers
	 * echo in their responses.
	 * @return the name
	 */
	String requestIdHeader();

	/**
	 * Read the metadata that a caller declares.
	 * @param headers headers of the request
	 * @return the metadata, empty if the request has no id
	 */
	Optional<RequestMetadata> metadata(MultiMap headers);

	/**
	 * Read the API key of a request.
	 * @param headers headers of the request
	 * @return the key with one character for each byte, empty unless the request has
	 * exactly one well-formed key
	 */
	Optional<String> bearerKey(MultiMap headers);

	/**
	 * Remove what the caller sent to identify itself and name the customer instead.
	 * @param to headers of the request to the server
	 * @param customer the customer, empty if the request is not attributed to any
	 */
	void replaceCredentials(MultiMap to, Optional<CustomerId> customer);

	/**
	 * Write the headers of a request to a backend server.
	 * @param from headers of the caller's request
	 * @param to headers of the request to the server
	 * @param server the only server that may run the request
	 * @param remainingMillis time until the caller's deadline, in milliseconds
	 */
	void writeRequestHeaders(MultiMap from, MultiMap to, ServerName server, long remainingMillis);

	/**
	 * Mark a request as prefill only, without generation.
	 * @param to headers of the request to the server
	 */
	void prefillOnly(MultiMap to);

	/**
	 * Set the priority with which an engine admits a request.
	 * @param to headers of the request to the server
	 * @param priority the priority, 0 being the highest
	 */
	void priority(MultiMap to, int priority);

	/**
	 * Set the KV cache from which a request continues.
	 * @param to headers of the request to the server
	 * @param source server that holds the cache
	 * @param handle handle of the cache
	 */
	void kvSource(MultiMap to, Endpoint source, String handle);

	/**
	 * Set the event after which a stream resumes.
	 * @param to headers of the request to the server
	 * @param lastEventId id of the event
	 */
	void resumeAfter(MultiMap to, long lastEventId);

	/**
	 * Read the result of a prefill.
	 * @param body body of the response
	 * @return handle of the KV cache, empty if the body is not a prefill result
	 */
	Optional<String> cacheHandle(Buffer body);

	/**
	 * Return the path that releases a KV cache.
	 * @param handle handle of the cache
	 * @return path of a DELETE request
	 */
	String handlePath(String handle);

	/**
	 * Return whether a server declares that it did not and will not run a request.
	 * @param status status of the response
	 * @param headers headers of the response
	 * @return true if it does
	 */
	boolean notRun(int status, MultiMap headers);

	/**
	 * Return whether a response comes from a different server than the intended one.
	 * @param status status of the response
	 * @return true if the address now belongs to another server
	 */
	boolean misdirected(int status);

	/**
	 * Read what a server announces about itself in a response.
	 * @param status status of the response
	 * @param headers headers of the response
	 * @return the announcement
	 */
	ServerNotice notice(int status, MultiMap headers);

	/**
	 * Check whether a response is a valid response to a request.
	 * @param status status of the response
	 * @param headers headers of the response
	 * @param requestId id of the request
	 * @return the reason why it is invalid, empty if it is valid
	 */
	Optional<String> defect(int status, MultiMap headers, String requestId);

	/**
	 * Return whether a response comes from a backend server.
	 * @param headers headers of the response
	 * @return true if it carries a server's signature
	 */
	boolean signed(MultiMap headers);

}
