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

	private int chars;

	void add(ConfigurationDocument before, ConfigurationDocument after) {
		List<ConfigurationEdit> edits = before.editsTo(after);
		int size = 0;
		for (ConfigurationEdit edit : edits) {
			String value = edit.value();
			size += edit.path().length() + ((value != null) ? value.length() : 0);
		}
		this.entries.addLast(new Entry(before.version(), edits, size));
		this.chars += size;
		while (this.chars > MAX_CHARS) {
			this.chars -= this.entries.removeFirst().chars();
		}
	}

	/**
	 * Returns the edits from a version to the version in force.
	 * @param version the version
	 * @return the edits in their order, or {@code null} if they are no longer known
	 */
	@Nullable List<ConfigurationEdit> since(long version) {
		List<ConfigurationEdit> edits = new ArrayList<>();
		boolean isFound = false;
		for (Entry entry : this.entries) {
			isFound |= entry.fromVersion() == version;
			if (isFound) {
				edits.addAll(entry.edits());
			}
		}
		return isFound ? edits : null;
	}

	private record Entry(long fromVersion, List<ConfigurationEdit> edits, int chars) {

	}

}
