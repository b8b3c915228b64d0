package dev.nutmegdoor.core.event;

/**
 * Receives events of controllers. The daemon writes each event as one line of
 * {@code key=value} pairs.
 */
@FunctionalInterface
public interface EventLog {

	/** Log that discards all events. */
	EventLog NONE = (event, fields) -> {
	};

	/**
	 * Records one event.
	 * @param event name of the event, lower case with dots, such as {@code lease.lapsed}
	 * @param fields alternating names and values; must not contain secrets
	 */
	void record(String event, Object... fields);

}
