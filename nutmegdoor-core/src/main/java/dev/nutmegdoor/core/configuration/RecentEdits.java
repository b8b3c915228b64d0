package dev.nutmegdoor.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Edits between the latest versions, so that peers receive a few hundred bytes for a
 * change instead of a whole shard. Bounded in size; older edits are dropped.
 */
final class RecentEdits {

	private static final int MAX_CHARS = 256 * 1024;

	private final Deque<Entry> entries = new ArrayDeque<>();

	private int totalChars;

	/**
	 * Adds the edits between two versions. Those of large changes can arrive after those
	 * of later ones, in which case they are dropped.
	 * @param fromVersion the earlier version
	 * @param toVersion the later version
	 * @param edits the edits
	 */
	void add(long fromVersion, long toVersion, List<ConfigurationEdit> edits) {
		Entry last = this.entries.peekLast();
		if (last != null && last.toVersion() >= toVersion) {
			return;
		}
		if (last != null && last.toVersion() != fromVersion) {
			this.entries.clear();
			this.totalChars = 0;
		}
		int addedChars = 0;
		for (ConfigurationEdit edit : edits) {
			String value = edit.value();
			addedChars += edit.path().length() + ((value != null) ? value.length() : 0);
		}
		this.entries.addLast(new Entry(fromVersion, toVersion, edits, addedChars));
		this.totalChars += addedChars;
		while (this.totalChars > MAX_CHARS) {
			this.totalChars -= this.entries.removeFirst().chars();
		}
	}

	/**
	 * Returns the edits from a version to another one.
	 * @param fromVersion the earlier version
	 * @param toVersion the later version
	 * @return the edits in their order, or {@code null} if they are no longer known
	 */
	@Nullable List<ConfigurationEdit> between(long fromVersion, long toVersion) {
		List<ConfigurationEdit> edits = new ArrayList<>();
		boolean isFromVersionFound = false;
		for (Entry entry : this.entries) {
			isFromVersionFound |= entry.fromVersion() == fromVersion;
			if (isFromVersionFound) {
				edits.addAll(entry.edits());
			}
		}
		Entry last = this.entries.peekLast();
		return (isFromVersionFound && last != null && last.toVersion() == toVersion) ? edits : null;
	}

	private record Entry(long fromVersion, long toVersion, List<ConfigurationEdit> edits, int chars) {

	}

}
