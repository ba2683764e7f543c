package io.balsamlane.router.log;

import org.slf4j.MDC;

/**
 * Adds a field to all log lines that the current thread writes until the context is
 * closed.
 */
public final class LogContext implements AutoCloseable {

	private final MDC.MDCCloseable field;

	private LogContext(MDC.MDCCloseable field) {
		this.field = field;
	}

	/**
	 * Add the id of a request to log lines.
	 * @param requestId the id of the request
	 * @return the context to close
	 */
	public static LogContext request(String requestId) {
		return new LogContext(MDC.putCloseable("request", requestId));
	}

	/**
	 * Add the host of a peer router to log lines.
	 * @param host the host of the peer router
	 * @return the context to close
	 */
	public static LogContext peer(String host) {
		return new LogContext(MDC.putCloseable("peer", host));
	}

	/**
	 * Add a configuration revision to log lines.
	 * @param revision the configuration revision
	 * @return the context to close
	 */
	public static LogContext revision(long revision) {
		return new LogContext(MDC.putCloseable("revision", Long.toString(revision)));
	}

	@Override
	public void close() {
		this.field.close();
	}

}
