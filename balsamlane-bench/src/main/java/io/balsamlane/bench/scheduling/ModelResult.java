package io.balsamlane.bench.scheduling;

/**
 * Figures of one run of the model.
 *
 * @param offered requests that arrived
 * @param served requests served within both targets
 * @param refused requests that were refused before any work
 * @param late requests that were served but missed a target
 * @param wastedShare discarded prefill tokens in relation to all prefill tokens
 * @param swingOffered requests that arrived in the swing
 * @param swingServed of these, served within both targets
 * @param p99FirstTokenMillis 99th percentile of the time to the first token
 * @param p99TotalMillis 99th percentile of the time to the last token
 */
public record ModelResult(int offered, int served, int refused, int late, double wastedShare, int swingOffered,
		int swingServed, double p99FirstTokenMillis, double p99TotalMillis) {
}
