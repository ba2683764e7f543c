package io.balsamlane.router.decision;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.locks.LockSupport;

import org.jctools.queues.MpscArrayQueue;

/**
 * Thread that runs the schedulers. Other threads submit tasks through a bounded queue.
 */
public final class DecisionThread {

	private static final Logger logger = System.getLogger(DecisionThread.class.getName());

	private static final long TICK_NANOS = 10_000_000L;

	/** Maximum number of tasks between two checks of the clock. */
	private static final int BATCH = 64;

	private final MpscArrayQueue<Runnable> queue;

	private final Thread thread = new Thread(this::run, "decision");

	private volatile Runnable tickTask = () -> {
	};

	private volatile boolean parked;

	private volatile boolean stopped;

	private DecisionThread(int capacity) {
		this.queue = new MpscArrayQueue<>(capacity);
		this.thread.setDaemon(true);
	}

	/**
	 * Create the thread without starting it.
	 * @param capacity maximum number of queued tasks
	 * @return the thread
	 */
	public static DecisionThread create(int capacity) {
		return new DecisionThread(capacity);
	}

	/**
	 * Start the thread.
	 * @param tickTask task to run about every 10 ms
	 */
	public void start(Runnable tickTask) {
		this.tickTask = tickTask;
		this.thread.start();
	}

	/**
	 * Stop the thread; queued tasks are discarded.
	 */
	public void stop() {
		this.stopped = true;
		LockSupport.unpark(this.thread);
	}

	/**
	 * Submit a task to the thread.
	 * @param task the task
	 * @return {@code false} if the queue is full and the task will not run
	 */
	public boolean submit(Runnable task) {
		boolean accepted = this.queue.offer(task);
		if (this.parked) {
			LockSupport.unpark(this.thread);
		}
		return accepted;
	}

	private void run() {
		long lastTickNanos = System.nanoTime();
		while (!this.stopped) {
			int completed = this.queue.drain(DecisionThread::runGuarded, BATCH);
			long nowNanos = System.nanoTime();
			if (nowNanos - lastTickNanos >= TICK_NANOS) {
				lastTickNanos = nowNanos;
				runGuarded(this.tickTask);
			}
			else if (completed == 0) {
				this.parked = true;
				if (this.queue.isEmpty()) {
					LockSupport.parkNanos(TICK_NANOS - (nowNanos - lastTickNanos));
				}
				this.parked = false;
			}
		}
	}

	private static void runGuarded(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			logger.log(Level.ERROR, "Scheduling task failed; its request gets no reply from this scheduler", ex);
		}
	}

}
