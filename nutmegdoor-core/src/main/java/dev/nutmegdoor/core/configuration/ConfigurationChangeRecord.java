package dev.nutmegdoor.core.configuration;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Entry of the history of the configuration.
 *
 * @param changeId identifier of the change
 * @param previousChangeId identifier of the change before, empty for the first one
 * @param version version that the change produced
 * @param author who made the change
 * @param reason why
 * @param timeMs wall-clock time in milliseconds since the Unix epoch
 * @param differences what was changed, with the items before and after
 * @param omittedDifferences number of further differences that didn't fit
 */
public record ConfigurationChangeRecord(String changeId, String previousChangeId, long version, String author,
		String reason, long timeMs, List<ConfigurationDifference> differences, int omittedDifferences) {

	/**
	 * Largest total size of the differences in characters. Escaping at worst doubles it
	 * and a character has up to three bytes; most need one, and the record has to stay
	 * within a value of the store.
	 */
	private static final int MAX_DIFFERENCE_CHARS = 300_000;

	public ConfigurationChangeRecord {
		differences = List.copyOf(differences);
	}

	static ConfigurationChangeRecord of(ConfigurationDocument before, ConfigurationDocument after, String reason,
			List<ConfigurationDifference> allDifferences) {
		int totalChars = 0;
		int keptCount = 0;
		while (keptCount < allDifferences.size()) {
			ConfigurationDifference difference = allDifferences.get(keptCount);
			totalChars += difference.path().length() + length(difference.before()) + length(difference.after());
			if (totalChars > MAX_DIFFERENCE_CHARS) {
				break;
			}
			keptCount++;
		}
		ConfigurationHead head = after.head();
		return new ConfigurationChangeRecord(head.changeId(), before.head().changeId(), head.version(), head.author(),
				reason, head.timeMs(), allDifferences.subList(0, keptCount), allDifferences.size() - keptCount);
	}

	private static int length(@Nullable String text) {
		return (text != null) ? text.length() : 0;
	}

}
