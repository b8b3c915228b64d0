package dev.nutmegdoor.core.configuration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import net.openhft.hashing.LongHashFunction;

/**
 * Immutable shard of a configuration. Its name consists of the hash of its text and the
 * identifier of the change that wrote it. Because of the identifier no two changes share
 * a shard, so that the shard that a change replaces can be deleted safely.
 */
final class ConfigurationShard {

	/** Shard without items, for which the store contains no object. */
	static final ConfigurationShard EMPTY = new ConfigurationShard("", "");

	/**
	 * Maximum size of a shard in bytes. Two shards of this size fit into a value of the
	 * store, and many into a frame.
	 */
	static final int MAX_BYTES = 512 * 1024;

	private final String name;

	private final String text;

	private final List<ConfigurationError> errors = new ArrayList<>();

	private final ConfigurationItems items = new ConfigurationItems();

	private ConfigurationShard(String name, String text) {
		this.name = name;
		this.text = text;
		sections().forEach((sectionName, entries) -> {
			ConfigurationSection section = ConfigurationSection.find(sectionName);
			if (section != null) {
				entries.forEach((id, node) -> section.readItem(id, node, this.items, this.errors));
			}
		});
	}

	/**
	 * Creates a shard after verifying that its text has the hash in its name.
	 * @param name name of the shard in the head
	 * @param text content to verify
	 * @return the shard, {@link #EMPTY} if the name is empty
	 * @throws IllegalArgumentException if the hash of the text differs from the one in
	 * the name
	 */
	static ConfigurationShard verified(String name, String text) {
		if (name.isEmpty()) {
			return EMPTY;
		}
		if (!name.startsWith(ConfigurationJson.hash(text) + ".")) {
			throw new IllegalArgumentException("text of shard " + name + " does not match the hash in its name");
		}
		return new ConfigurationShard(name, text);
	}

	static int indexOf(String section, String id) {
		long hash = LongHashFunction.xx3().hashBytes((section + "/" + id).getBytes(StandardCharsets.UTF_8));
		return (int) Long.remainderUnsigned(hash, ConfigurationHead.SHARD_COUNT);
	}

	/**
	 * Serializes items as the text of a shard, sorted by section and identifier, so that
	 * equal items produce equal texts.
	 * @param sections items by section and identifier
	 * @return the text, empty if there are no items
	 */
	static String write(Map<String, Map<String, JsonNode>> sections) {
		Map<String, Map<String, JsonNode>> filled = new TreeMap<>(sections);
		filled.values().removeIf(Map::isEmpty);
		return filled.isEmpty() ? "" : ConfigurationJson.write(filled);
	}

	/**
	 * Creates the successor of this shard.
	 * @param text the new content
	 * @param changeId identifier of the change
	 * @return the new shard, or this one if the content is the same
	 */
	ConfigurationShard next(String text, String changeId) {
		if (text.equals(this.text)) {
			return this;
		}
		return text.isEmpty() ? EMPTY : new ConfigurationShard(ConfigurationJson.hash(text) + "." + changeId, text);
	}

	String name() {
		return this.name;
	}

	String text() {
		return this.text;
	}

	ConfigurationItems items() {
		return this.items;
	}

	List<ConfigurationError> errors() {
		return this.errors;
	}

	int sizeBytes() {
		return this.text.getBytes(StandardCharsets.UTF_8).length;
	}

	Map<String, Map<String, JsonNode>> sections() {
		Map<String, Map<String, JsonNode>> sections = new TreeMap<>();
		if (!this.text.isEmpty()) {
			ConfigurationJson.parse(this.text).properties().forEach((section) -> {
				Map<String, JsonNode> entries = sections.computeIfAbsent(section.getKey(), (key) -> new TreeMap<>());
				section.getValue().properties().forEach((item) -> entries.put(item.getKey(), item.getValue()));
			});
		}
		return sections;
	}

}
