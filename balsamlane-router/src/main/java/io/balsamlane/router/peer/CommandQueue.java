package io.balsamlane.router.peer;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

import org.jctools.queues.MpscArrayQueue;

/**
 * Bounded queue through which other threads submit commands to the peer thread.
 */
final class CommandQueue {

	private static final int CAPACITY = 4_096;

	private final MpscArrayQueue<Runnable> commands = new MpscArrayQueue<>(CAPACITY);

	private final AtomicBoolean scheduled = new AtomicBoolean();

	private final Executor peerThread;

	CommandQueue(Executor peerThread) {
		this.peerThread = peerThread;
	}

	boolean offer(Runnable command) {
		boolean accepted = this.commands.offer(command);
		if (this.scheduled.compareAndSet(false, true)) {
			this.peerThread.execute(this::drain);
		}
		return accepted;
	}

	private void drain() {
		this.scheduled.set(false);
		this.commands.drain(Runnable::run);
	}

}
