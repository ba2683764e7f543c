package io.balsamlane.router.forwarding;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import io.vertx.core.json.JsonObject;
import org.jctools.queues.MpscArrayQueue;

/**
 * Log of the router's decisions, one JSON object per line, written by a dedicated thread.
 * Logging never blocks: a line is dropped and counted if the ring buffer is full or if
 * its kind exceeds the rate limit.
 */
public final class DecisionLog {

	/** Capacity of the ring buffer; about 600 KB at 300 bytes per line. */
	private static final int RING_LINES = 2048;

	/** Rate limit per kind; ten times the request rate of a busy host. */
	private static final int MAX_LINES_PER_KIND_AND_SECOND = 200;

	/** Time in which lines are gathered for one write. */
	private static final long WRITER_POLL_NANOS = 50_000_000L;

	private final MpscArrayQueue<String> ring = new MpscArrayQueue<>(RING_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final Map<String, Integer> linesInSecond = new HashMap<>();

	private final Map<String, Integer> suppressed = new HashMap<>();

	private final String host;

	private final PrintStream out;

	private final Thread writer = new Thread(this::write, "decision-log");

	private long second;

	private volatile boolean stopped;

	// True while the writer waits for a line instead of polling, so that an idle process
	// is not woken.
	private volatile boolean writerIdle;

	private DecisionLog(String host, PrintStream out) {
		this.host = host;
		this.out = out;
		this.writer.setDaemon(true);
	}

	/**
	 * Create a log.
	 * @param host host of this process, written in each line
	 * @param out receives the lines
	 * @return the log
	 */
	public static DecisionLog create(String host, PrintStream out) {
		return new DecisionLog(host, out);
	}

	/**
	 * Start the writer thread.
	 */
	public void start() {
		this.writer.start();
	}

	/**
	 * Write all pending lines and stop the writer thread.
	 */
	public void stop() {
		this.stopped = true;
		LockSupport.unpark(this.writer);
		try {
			this.writer.join(1000);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Log a decision.
	 * @param event kind of the decision, a constant string
	 * @param requestId id of the request, empty if the decision concerns none
	 * @param fields alternating names and values: the inputs of the decision and its
	 * outcome
	 */
	public void log(String event, String requestId, Object... fields) {
		if (!admit(event)) {
			return;
		}
		JsonObject line = line(event);
		if (!requestId.isEmpty()) {
			line.put("request", requestId);
		}
		for (int index = 0; index + 1 < fields.length; index += 2) {
			line.put(String.valueOf(fields[index]), value(fields[index + 1]));
		}
		offer(line);
	}

	private static Object value(Object value) {
		return (value instanceof Number || value instanceof Boolean) ? value : String.valueOf(value);
	}

	private JsonObject line(String event) {
		return new JsonObject().put("time", Instant.now().toString()).put("host", this.host).put("event", event);
	}

	private void offer(JsonObject line) {
		if (!this.ring.offer(line.encode())) {
			this.dropped.incrementAndGet();
		}
		if (this.writerIdle) {
			this.writerIdle = false;
			LockSupport.unpark(this.writer);
		}
	}

	private synchronized boolean admit(String event) {
		long now = System.nanoTime() / 1_000_000_000L;
		if (now != this.second) {
			this.second = now;
			this.linesInSecond.clear();
			this.suppressed
				.forEach((kind, count) -> offer(line("log-suppressed").put("kind", kind).put("lines", count)));
			this.suppressed.clear();
		}
		if (this.linesInSecond.merge(event, 1, Integer::sum) <= MAX_LINES_PER_KIND_AND_SECOND) {
			return true;
		}
		this.suppressed.merge(event, 1, Integer::sum);
		return false;
	}

	private void write() {
		while (true) {
			boolean last = this.stopped;
			StringBuilder text = new StringBuilder();
			for (String line = this.ring.poll(); line != null; line = this.ring.poll()) {
				text.append(line).append('\n');
			}
			long lost = this.dropped.getAndSet(0);
			if (lost > 0) {
				text.append(line("log-dropped").put("lines", lost).encode()).append('\n');
			}
			if (!text.isEmpty()) {
				byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
				this.out.write(bytes, 0, bytes.length);
				this.out.flush();
			}
			if (last) {
				return;
			}
			if (text.isEmpty()) {
				awaitLine();
			}
			if (!this.stopped) {
				LockSupport.parkNanos(WRITER_POLL_NANOS);
			}
		}
	}

	// The flag is set before the ring is checked, so that a line that is added in between
	// either is seen or wakes the writer.
	private void awaitLine() {
		this.writerIdle = true;
		while (this.writerIdle && this.ring.isEmpty() && !this.stopped) {
			LockSupport.park(this);
		}
		this.writerIdle = false;
	}

}
