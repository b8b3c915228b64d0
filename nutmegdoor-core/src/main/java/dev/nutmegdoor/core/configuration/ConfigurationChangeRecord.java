package dev.nutmegdoor.core.configuration;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Entry of the change history of the configuration.
 *
 * @param changeId identifier of the change
 * @param previousChangeId identifier of the previous change, empty for the first one
 * @param version version that the change produced
 * @param author operator that requested the change
 * @param reason free text of the operator
 * @param timeMs wall-clock time in milliseconds since the Unix epoch
 * @param differences changed items with their content before and after the change
 * @param omittedDifferences number of differences left out because of the size limit
 */
public record ConfigurationChangeRecord(String changeId, String previousChangeId, long version, String author,
		String reason, long timeMs, List<ConfigurationDifference> differences, int omittedDifferences) {

	/**
	 * Maximum total size of the differences in characters. The record must fit into a
	 * value of the store; escaping at most doubles the size, and a character takes up to
	 * three bytes, though most take one.
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
