package io.balsamlane.standin.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

import io.vertx.core.Vertx;

/**
 * Priority queue that runs the prefills of one engine one at a time, by descending
 * priority and then in order of arrival. A running prefill is not preempted by one of
 * higher priority.
 */
class PrefillQueue {

	private final Vertx vertx;

	private final Queue<Job> waiting = new PriorityQueue<>(
			Comparator.comparingInt((Job job) -> -job.priority).thenComparingLong((job) -> job.number));

	private long nextNumber;

	private long waitingNanos;

	private Job running;

	private long computedTokens;

	/**
	 * End of the last prefill according to the capacity model. The next prefill starts at
	 * this time rather than when the timer fires, so that late timers do not reduce the
	 * capacity.
	 */
	private long modelEndNanos = System.nanoTime();

	PrefillQueue(Vertx vertx) {
		this.vertx = vertx;
	}

	Job add(int priority, int tokens, long durationNanos, Runnable completion) {
		Job job = new Job(this.nextNumber++, priority, tokens, durationNanos, completion);
		if (this.running == null) {
			this.modelEndNanos = Math.max(this.modelEndNanos, System.nanoTime());
		}
		this.waiting.add(job);
		this.waitingNanos += durationNanos;
		startNext();
		return job;
	}

	private void startNext() {
		if (this.running != null || this.waiting.isEmpty()) {
			return;
		}
		Job job = this.waiting.remove();
		this.waitingNanos -= job.durationNanos;
		this.running = job;
		job.startNanos = this.modelEndNanos;
		this.modelEndNanos += job.durationNanos;
		EngineStandIn.afterNanos(this.vertx, this.modelEndNanos - System.nanoTime(), () -> finish(job));
	}

	private void finish(Job job) {
		if (this.running == job) {
			this.running = null;
			this.computedTokens += job.tokens;
			startNext();
			job.completion.run();
		}
	}

	/**
	 * Remove a prefill from the queue, or abort it if it is running.
	 * @param job the prefill
	 * @return the number of tokens that were computed and discarded
	 */
	int cancel(Job job) {
		if (this.waiting.remove(job)) {
			this.waitingNanos -= job.durationNanos;
			return 0;
		}
		if (this.running != job) {
			return 0;
		}
		long nowNanos = System.nanoTime();
		int partialTokens = (int) Math.min(job.tokens,
				Math.max(0, job.tokens * (nowNanos - job.startNanos) / Math.max(1, job.durationNanos)));
		this.computedTokens += partialTokens;
		this.running = null;
		this.modelEndNanos = nowNanos;
		startNext();
		return partialTokens;
	}

	long backlogNanos() {
		long runningNanos = (this.running != null) ? Math.max(0, this.modelEndNanos - System.nanoTime()) : 0;
		return runningNanos + this.waitingNanos;
	}

	/**
	 * Return the number of tokens computed by all prefills so far, including aborted
	 * ones.
	 * @return the number of computed tokens
	 */
	long computedTokens() {
		return this.computedTokens;
	}

	/**
	 * A queued or running prefill.
	 */
	static final class Job {

		private final long number;

		private final int priority;

		private final int tokens;

		private final long durationNanos;

		private final Runnable completion;

		private long startNanos;

		Job(long number, int priority, int tokens, long durationNanos, Runnable completion) {
			this.number = number;
			this.priority = priority;
			this.tokens = tokens;
			this.durationNanos = durationNanos;
			this.completion = completion;
		}

	}

}
