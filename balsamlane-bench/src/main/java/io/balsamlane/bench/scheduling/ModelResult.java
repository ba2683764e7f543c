package io.balsamlane.bench.scheduling;

/**
 * Results of one run of the scheduling model.
 *
 * @param offered requests that arrived
 * @param served requests served within both latency targets
 * @param refused requests whose grant the scheduler refused
 * @param late requests that missed a latency target or failed on every attempt
 * @param wastedShare discarded prefill tokens as a share of all prefill tokens
 * @param swingOffered requests that arrived during the load swing
 * @param swingServed requests of the load swing that were served within both targets
 * @param p99FirstTokenMillis 99th percentile of the time to the first token, in
 * milliseconds
 * @param p99TotalMillis 99th percentile of the time to the last token, in milliseconds
 */
public record ModelResult(int offered, int served, int refused, int late, double wastedShare, int swingOffered,
		int swingServed, double p99FirstTokenMillis, double p99TotalMillis) {
}
