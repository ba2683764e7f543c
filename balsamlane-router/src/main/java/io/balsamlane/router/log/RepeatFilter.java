package io.balsamlane.router.log;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;

/**
 * Drops a warning or error that was logged less than an interval ago, so that an outage
 * does not fill the disk. Used by the Logback configuration.
 */
public final class RepeatFilter extends Filter<ILoggingEvent> {

	private static final int MAX_MESSAGES = 1024;

	// Ports, times and counters differ between repetitions of one error.
	private static final Pattern NUMBERS = Pattern.compile("\\d{3,}");

	private final Map<String, Long> loggedMillis = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_MESSAGES;
		}
	};

	private long intervalMillis = 10_000;

	/**
	 * Sets the interval.
	 * @param intervalMillis shortest time between two equal messages, in milliseconds
	 */
	public void setIntervalMillis(long intervalMillis) {
		this.intervalMillis = intervalMillis;
	}

	@Override
	public FilterReply decide(ILoggingEvent event) {
		if (!event.getLevel().isGreaterOrEqual(Level.WARN)) {
			return FilterReply.NEUTRAL;
		}
		String key = event.getLoggerName() + " " + NUMBERS.matcher(event.getFormattedMessage()).replaceAll("#");
		synchronized (this.loggedMillis) {
			Long last = this.loggedMillis.get(key);
			if (last != null && event.getTimeStamp() - last < this.intervalMillis) {
				return FilterReply.DENY;
			}
			this.loggedMillis.put(key, event.getTimeStamp());
		}
		return FilterReply.NEUTRAL;
	}

}
