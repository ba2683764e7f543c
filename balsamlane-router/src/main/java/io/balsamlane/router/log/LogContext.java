package io.balsamlane.router.log;

import org.slf4j.MDC;

/**
 * Fields of the log lines that the current thread writes until the context is closed.
 */
public final class LogContext implements AutoCloseable {

	private final MDC.MDCCloseable field;

	private LogContext(MDC.MDCCloseable field) {
		this.field = field;
	}

	/**
	 * Adds the request to log lines.
	 * @param requestId the request
	 * @return the context to close
	 */
	public static LogContext request(String requestId) {
		return new LogContext(MDC.putCloseable("request", requestId));
	}

	/**
	 * Adds another router to log lines.
	 * @param host host of the router
	 * @return the context to close
	 */
	public static LogContext peer(String host) {
		return new LogContext(MDC.putCloseable("peer", host));
	}

	/**
	 * Adds a revision of the configuration to log lines.
	 * @param revision the revision
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
