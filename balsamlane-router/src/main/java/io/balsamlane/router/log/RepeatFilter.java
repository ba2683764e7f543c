package io.balsamlane.router.log;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;

/**
 * Logback filter that drops a warning or error if an equal one was logged within the
 * configured interval, so that an outage does not fill the disk. Referenced by class name
 * in the Logback configuration.
 */
public final class RepeatFilter extends Filter<ILoggingEvent> {

	private static final int MAX_TRACKED_MESSAGES = 1024;

	// Masks ports, times and counters, which differ between repetitions of one error.
	private static final Pattern VARIABLE_DIGITS = Pattern.compile("\\d{3,}");

	private final Map<String, Long> lastLoggedMillis = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_TRACKED_MESSAGES;
		}
	};

	private long intervalMillis = 10_000;

	/**
	 * Set the minimum interval between two equal messages.
	 * @param intervalMillis the minimum interval in milliseconds
	 */
	public void setIntervalMillis(long intervalMillis) {
		this.intervalMillis = intervalMillis;
	}

	@Override
	public FilterReply decide(ILoggingEvent event) {
		if (!event.getLevel().isGreaterOrEqual(Level.WARN)) {
			return FilterReply.NEUTRAL;
		}
		String key = event.getLoggerName() + " " + VARIABLE_DIGITS.matcher(event.getFormattedMessage()).replaceAll("#");
		synchronized (this.lastLoggedMillis) {
			Long last = this.lastLoggedMillis.get(key);
			if (last != null && event.getTimeStamp() - last < this.intervalMillis) {
				return FilterReply.DENY;
			}
			this.lastLoggedMillis.put(key, event.getTimeStamp());
		}
		return FilterReply.NEUTRAL;
	}

}
