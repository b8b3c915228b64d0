package dev.nutmegdoor.node;

import org.jboss.logging.Logger;

import dev.nutmegdoor.core.event.EventLog;

/**
 * Logs each event at level INFO as one line of {@code key=value} pairs. Values with
 * spaces or special characters are quoted.
 */
public final class LoggingEventLog implements EventLog {

	private static final Logger logger = Logger.getLogger("dev.nutmegdoor.event");

	@Override
	public void record(String event, Object... fields) {
		if (!logger.isInfoEnabled()) {
			return;
		}
		StringBuilder line = new StringBuilder("event=").append(event);
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.append(' ').append(fields[i]).append('=').append(quoted(String.valueOf(fields[i + 1])));
		}
		logger.info(line);
	}

	private static String quoted(String value) {
		boolean isPlain = !value.isEmpty()
				&& value.chars().allMatch((c) -> c > ' ' && c < 0x7f && c != '"' && c != '=');
		if (isPlain) {
			return value;
		}
		StringBuilder text = new StringBuilder("\"");
		value.chars().forEach((c) -> {
			if (c == '"' || c == '\\') {
				text.append('\\').append((char) c);
			}
			else {
				text.append((c < ' ' || c == 0x7f) ? ' ' : (char) c);
			}
		});
		return text.append('"').toString();
	}

}
