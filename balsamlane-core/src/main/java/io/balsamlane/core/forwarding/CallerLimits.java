package io.balsamlane.core.forwarding;

/**
 * Bounds on what callers may send and how long they may take.
 *
 * @param maxHeaderBytes largest size of a request's headers
 * @param maxBodyBytes largest body of a request
 * @param headerTimeoutMillis longest time in which the headers must arrive
 * @param idleTimeoutMillis time without a request after which a connection may be closed
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
}
