package io.balsamlane.bench;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import io.balsamlane.bench.load.CallResult.Targets;
import io.balsamlane.bench.load.ModelCall;

/**
 * Largest number of requests that the capacity model allows within their targets.
 * <p>
 * It is a relaxation, so no scheduler can exceed it: all prefill engines count as one
 * that is as fast as their sum, every shared prefix counts as cached, prompts are known
 * ahead, and decode engines only limit the number of requests. Which prompts to prefill
 * is then the problem of the most jobs on one machine with release times and deadlines in
 * the same order, solved by dropping, whenever a deadline would be missed, the prompt
 * that frees most time. Source: Kise, Ibaraki and Mine, A Solvable Case of the
 * One-Machine Scheduling Problem with Ready and Due Times, 1978.
 */
final class GoodputBound {

	private GoodputBound() {
	}

	/**
	 * Computes the bound.
	 * @param plan the deployment
	 * @param calls the requests in the order of their arrivals
	 * @param targets the latency targets
	 * @param freeSlotShare share of the decode memory that is free at the first arrival
	 * @return the number of requests
	 */
	static long of(DeploymentPlan plan, List<ModelCall> calls, Targets targets, double freeSlotShare) {
		if (calls.isEmpty()) {
			return 0;
		}
		double tokensPerNano = plan.prefillEngines() * plan.engine().prefillTokensPerSecond() / 1e9;
		long afterPrefillNanos = plan.engine().stepMicros() * 1000L;
		long prefilled = onTime(calls, tokensPerNano, targets.firstTokenNanos() - afterPrefillNanos);
		double seconds = (calls.get(calls.size() - 1).dueNanos() - calls.get(0).dueNanos() + targets.firstTokenNanos())
				/ 1e9;
		double decoded = plan.decodeEngines() * (plan.decodePerSecond() * seconds + freeSlotShare * plan.decodeSlots());
		return Math.min(prefilled, (long) decoded);
	}

	private static long onTime(List<ModelCall> calls, double tokensPerNano, long limitNanos) {
		PriorityQueue<Double> kept = new PriorityQueue<>(Comparator.reverseOrder());
		double freeAtNanos = calls.get(0).dueNanos();
		long started = 0;
		for (ModelCall call : calls) {
			if (freeAtNanos <= call.dueNanos()) {
				// The machine is idle: what was kept so far is done and cannot be
				// dropped.
				started += kept.size();
				kept.clear();
				freeAtNanos = call.dueNanos();
			}
			double workNanos = call.ownTokens() / tokensPerNano;
			kept.add(workNanos);
			freeAtNanos += workNanos;
			if (freeAtNanos > call.dueNanos() + limitNanos) {
				freeAtNanos -= kept.remove();
			}
		}
		return started + kept.size();
	}

}
