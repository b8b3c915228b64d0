package dev.nutmegdoor.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Bounded buffer of the edits between the latest versions, so that a peer receives a few
 * hundred bytes for a change instead of complete shards. The oldest edits are discarded
 * when the buffer exceeds its size.
 */
final class RecentEdits {

	private static final int MAX_CHARS = 256 * 1024;

	private final Deque<Entry> entries = new ArrayDeque<>();

	private int totalChars;

	/**
	 * Adds the edits between two versions. Because the comparison of a large change takes
	 * longer, its edits may be added after those of a later version; they are then
	 * ignored.
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
	 * Returns the edits that lead from one version to another.
	 * @param fromVersion the earlier version
	 * @param toVersion the later version
	 * @return the edits in the order of their versions, or {@code null} if they are not
	 * in the buffer
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
