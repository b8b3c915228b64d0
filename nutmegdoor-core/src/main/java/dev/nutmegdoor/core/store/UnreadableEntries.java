package dev.nutmegdoor.core.store;

import java.util.HashSet;
import java.util.Set;

import dev.nutmegdoor.core.event.EventLog;

/**
 * Reports entries of other writers that can't be read, each once. Must be used on the
 * control thread.
 */
public final class UnreadableEntries {

	/**
	 * Maximum number of reports, because another writer may write any number of names.
	 */
	private static final int MAX_REPORTS = 100;

	private static final int MAX_TEXT_LENGTH = 200;

	private final EventLog events;

	private final Set<String> reported = new HashSet<>();

	/**
	 * Creates reports of which none has been made.
	 * @param events receives {@code store.entry-unreadable}
	 */
	public UnreadableEntries(EventLog events) {
		this.events = events;
	}

	/**
	 * Reports an entry, unless it has been reported before.
	 * @param kind kind of the entry
	 * @param name name of the entry; empty if it is not known
	 * @param reason why the entry can't be read
	 */
	public void report(String kind, String name, String reason) {
		String shortName = shorten(name);
		if (this.reported.size() < MAX_REPORTS && this.reported.add(kind + "/" + shortName)) {
			this.events.record("store.entry-unreadable", "kind", kind, "name", shortName, "reason", shorten(reason));
		}
	}

	private static String shorten(String text) {
		return (text.length() > MAX_TEXT_LENGTH) ? text.substring(0, MAX_TEXT_LENGTH) : text;
	}

}
