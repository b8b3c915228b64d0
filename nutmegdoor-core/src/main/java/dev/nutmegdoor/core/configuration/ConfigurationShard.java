package dev.nutmegdoor.core.configuration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import net.openhft.hashing.LongHashFunction;

/**
 * One immutable shard of a configuration. Its name is the hash of its text and the
 * identifier of the change that wrote it. The identifier keeps a shard from being shared
 * by two changes, so that the shard that a change replaces can be deleted safely.
 */
final class ConfigurationShard {

	/** Shard without items, which has no object in the store. */
	static final ConfigurationShard EMPTY = new ConfigurationShard("", "");

	/**
	 * Largest shard in bytes; two fit into a value of the store and many into a frame.
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
	 * Creates a shard that was read under a name.
	 * @param name name in the head
	 * @param text content
	 * @return the shard
	 * @throws IllegalArgumentException if the text doesn't have the hash in the name
	 */
	static ConfigurationShard verified(String name, String text) {
		if (name.isEmpty()) {
			return EMPTY;
		}
		if (!name.startsWith(ConfigurationJson.hash(text) + ".")) {
			throw new IllegalArgumentException("shard " + name + " has a wrong hash");
		}
		return new ConfigurationShard(name, text);
	}

	static int indexOf(String section, String id) {
		long hash = LongHashFunction.xx3().hashBytes((section + "/" + id).getBytes(StandardCharsets.UTF_8));
		return (int) Long.remainderUnsigned(hash, ConfigurationHead.SHARD_COUNT);
	}

	/**
	 * Writes items as the text of a shard, in the order of their names, so that equal
	 * items give equal texts.
	 * @param sections items by section and identifier
	 * @return the text, empty if there are no items
	 */
	static String write(Map<String, Map<String, JsonNode>> sections) {
		Map<String, Map<String, JsonNode>> filled = new TreeMap<>(sections);
		filled.values().removeIf(Map::isEmpty);
		return filled.isEmpty() ? "" : ConfigurationJson.write(filled);
	}

	/**
	 * Creates the shard that follows this one.
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
