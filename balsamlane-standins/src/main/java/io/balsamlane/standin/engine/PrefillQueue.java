package io.balsamlane.standin.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

import io.vertx.core.Vertx;

/**
 * Prefills of one engine, one at a time, larger priority first and then in order of
 * arrival. A prefill that runs is not interrupted by a more urgent one.
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
	 * End of the last prefill by the capacity model. Each prefill starts there and not
	 * when a timer fires, so that timers that fire late don't lower the capacity.
	 */
	private long freeAtNanos = System.nanoTime();

	PrefillQueue(Vertx vertx) {
		this.vertx = vertx;
	}

	Job add(int priority, int tokens, long durationNanos, Runnable completion) {
		Job job = new Job(this.nextNumber++, priority, tokens, durationNanos, completion);
		if (this.running == null) {
			this.freeAtNanos = Math.max(this.freeAtNanos, System.nanoTime());
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
		job.startNanos = this.freeAtNanos;
		this.freeAtNanos += job.durationNanos;
		EngineStandIn.afterNanos(this.vertx, this.freeAtNanos - System.nanoTime(), () -> finish(job));
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
	 * Takes a prefill out of the queue or interrupts it.
	 * @param job the prefill
	 * @return the tokens that were computed in vain
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
		int done = (int) Math.min(job.tokens,
				Math.max(0, job.tokens * (nowNanos - job.startNanos) / Math.max(1, job.durationNanos)));
		this.computedTokens += done;
		this.running = null;
		this.freeAtNanos = nowNanos;
		startNext();
		return done;
	}

	long backlogNanos() {
		long runningNanos = (this.running != null) ? Math.max(0, this.freeAtNanos - System.nanoTime()) : 0;
		return runningNanos + this.waitingNanos;
	}

	/**
	 * Returns the tokens of all prefills so far, with those that were interrupted.
	 * @return the computed tokens
	 */
	long computedTokens() {
		return this.computedTokens;
	}

	/**
	 * One prefill.
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
