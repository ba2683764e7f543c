package io.balsamlane.router.decision;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.locks.LockSupport;

import org.jctools.queues.MpscArrayQueue;

/**
 * The thread that owns the schedulers. Others hand it work through a bounded ring.
 */
public final class DecisionThread {

	private static final Logger logger = System.getLogger(DecisionThread.class.getName());

	private static final long TICK_NANOS = 10_000_000L;

	/** Items of work between two looks at the clock. */
	private static final int BATCH = 64;

	private final MpscArrayQueue<Runnable> ring;

	private final Thread thread = new Thread(this::run, "decision");

	private volatile Runnable ticker = () -> {
	};

	private volatile boolean parked;

	private volatile boolean stopped;

	private DecisionThread(int capacity) {
		this.ring = new MpscArrayQueue<>(capacity);
		this.thread.setDaemon(true);
	}

	/**
	 * Creates the thread, not started.
	 * @param capacity most items of work that wait
	 * @return the thread
	 */
	public static DecisionThread create(int capacity) {
		return new DecisionThread(capacity);
	}

	/**
	 * Starts the thread.
	 * @param tick runs at intervals of some milliseconds
	 */
	public void start(Runnable tick) {
		this.ticker = tick;
		this.thread.start();
	}

	/**
	 * Stops the thread; work that still waits is not run.
	 */
	public void stop() {
		this.stopped = true;
		LockSupport.unpark(this.thread);
	}

	/**
	 * Hands work to the thread.
	 * @param work the work
	 * @return false if the ring is full; the work will not run
	 */
	public boolean submit(Runnable work) {
		boolean accepted = this.ring.offer(work);
		if (this.parked) {
			LockSupport.unpark(this.thread);
		}
		return accepted;
	}

	private void run() {
		long tickedNanos = System.nanoTime();
		while (!this.stopped) {
			int done = this.ring.drain(DecisionThread::guarded, BATCH);
			long nowNanos = System.nanoTime();
			if (nowNanos - tickedNanos >= TICK_NANOS) {
				tickedNanos = nowNanos;
				guarded(this.ticker);
			}
			else if (done == 0) {
				this.parked = true;
				if (this.ring.isEmpty()) {
					LockSupport.parkNanos(TICK_NANOS - (nowNanos - tickedNanos));
				}
				this.parked = false;
			}
		}
	}

	private static void guarded(Runnable work) {
		try {
			work.run();
		}
		catch (RuntimeException ex) {
			logger.log(Level.ERROR, "A decision failed; the request gets no answer from this scheduler", ex);
		}
	}

}
