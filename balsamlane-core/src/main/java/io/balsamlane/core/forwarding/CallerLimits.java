package io.balsamlane.core.forwarding;

/**
 * Size limits and timeouts for the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the headers of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param headerTimeoutMillis time within which the headers must be received
 * @param idleTimeoutMillis time without a request after which a connection may be closed
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
}
