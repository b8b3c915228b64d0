package dev.nutmegdoor.cli.logging;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.LayoutBase;

/**
 * Formats an event as one line: its time in UTC, its level and its message, which
 * consists of key=value pairs. A stack trace follows on lines of its own.
 */
final class KeyValueLayout extends LayoutBase<ILoggingEvent> {

	private final DateTimeFormatter timeFormat = DateTimeFormatter
		.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'", Locale.ROOT)
		.withZone(ZoneOffset.UTC);

	@Override
	public String doLayout(ILoggingEvent event) {
		StringBuilder line = new StringBuilder("time=");
		this.timeFormat.formatTo(Instant.ofEpochMilli(event.getTimeStamp()), line);
		line.append(" level=").append(event.getLevel()).append(' ').append(event.getFormattedMessage()).append('\n');
		IThrowableProxy error = event.getThrowableProxy();
		if (error != null) {
			line.append(ThrowableProxyUtil.asString(error));
		}
		return line.toString();
	}

}
