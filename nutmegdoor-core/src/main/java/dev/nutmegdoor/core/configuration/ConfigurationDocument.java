package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * One version of the configuration with its stored form.
 *
 * @param head the head
 * @param shards the shards that the head names
 * @param configuration the parsed configuration
 */
record ConfigurationDocument(ConfigurationHead head, List<ConfigurationShard> shards, Configuration configuration) {

	static final ConfigurationDocument EMPTY = of(ConfigurationHead.EMPTY,
			Collections.nCopies(ConfigurationHead.SHARD_COUNT, ConfigurationShard.EMPTY));

	ConfigurationDocument {
		shards = List.copyOf(shards);
	}

	static ConfigurationDocument of(ConfigurationHead head, List<ConfigurationShard> shards) {
		ConfigurationItems items = new ConfigurationItems();
		shards.forEach((shard) -> items.addAll(shard.items()));
		return new ConfigurationDocument(head, shards, items.toConfiguration(head.version()));
	}

	long version() {
		return this.head.version();
	}

	@Nullable String sheetDate() {
		int index = ConfigurationShard.indexOf(ConfigurationSection.SHEET.jsonName(), "loaded");
		return this.shards.get(index).items().sheetDates.get("loaded");
	}

	List<ConfigurationError> errors() {
		List<ConfigurationError> errors = new ArrayList<>();
		this.shards.forEach((shard) -> errors.addAll(shard.errors()));
		return errors;
	}

	/**
	 * Applies edits and creates the next version; unknown fields are kept.
	 * @param edits the edits
	 * @param changeId identifier of the change
	 * @param author who makes the change
	 * @param timeMs wall-clock time in milliseconds since the Unix epoch
	 * @return the next version, not validated; this one if nothing changes
	 */
	ConfigurationDocument next(List<ConfigurationEdit> edits, String changeId, String author, long timeMs) {
		List<ConfigurationShard> changed = edited(edits, changeId);
		if (changed.equals(this.shards)) {
			return this;
		}
		List<String> names = changed.stream().map(ConfigurationShard::name).toList();
		return of(this.head.next(changeId, author, timeMs, names), changed);
	}

	/**
	 * Applies edits that lead to a known head.
	 * @param edits the edits
	 * @param target the head
	 * @return the version of the head
	 * @throws IllegalArgumentException if the edits don't lead to the head
	 */
	ConfigurationDocument advance(List<ConfigurationEdit> edits, ConfigurationHead target) {
		List<ConfigurationShard> result = new ArrayList<>();
		List<ConfigurationShard> changed = edited(edits, target.changeId());
		for (int i = 0; i < changed.size(); i++) {
			String name = target.shards().get(i);
			result.add(this.shards.get(i).name().equals(name) ? this.shards.get(i)
					: ConfigurationShard.verified(name, changed.get(i).text()));
		}
		return of(target, result);
	}

	/**
	 * Returns the edits that lead from this version to another one.
	 * @param other the other version
	 * @return replacements and removals of whole items
	 */
	List<ConfigurationEdit> editsTo(ConfigurationDocument other) {
		List<ConfigurationEdit> edits = new ArrayList<>();
		visitChanges(other, (section, id, before, after) -> edits
			.add(new ConfigurationEdit(section, id, (after != null) ? ConfigurationJson.write(after) : null, true)));
		return edits;
	}

	/**
	 * Returns the differences between this version and another one.
	 * @param other the other version
	 * @return differences without hashes of secrets, in the order of their paths
	 */
	List<ConfigurationDifference> differencesTo(ConfigurationDocument other) {
		List<ConfigurationDifference> differences = new ArrayList<>();
		visitChanges(other, (section, id, before, after) -> differences
			.add(new ConfigurationDifference(section + "/" + id, redact(before), redact(after))));
		return differences;
	}

	private static @Nullable String redact(@Nullable JsonNode item) {
		if (item == null) {
			return null;
		}
		JsonNode copy = item.deepCopy();
		if (copy instanceof ObjectNode fields && fields.has("secretHash")) {
			fields.put("secretHash", "***");
		}
		return ConfigurationJson.write(copy);
	}

	private List<ConfigurationShard> edited(List<ConfigurationEdit> edits, String changeId) {
		Map<Integer, List<ConfigurationEdit>> byShard = new TreeMap<>();
		for (ConfigurationEdit edit : edits) {
			byShard.computeIfAbsent(ConfigurationShard.indexOf(edit.section(), edit.id()), (key) -> new ArrayList<>())
				.add(edit);
		}
		List<ConfigurationShard> changed = new ArrayList<>(this.shards);
		byShard.forEach((index, shardEdits) -> {
			Map<String, Map<String, JsonNode>> sections = this.shards.get(index).sections();
			for (ConfigurationEdit edit : shardEdits) {
				Map<String, JsonNode> items = sections.computeIfAbsent(edit.section(), (key) -> new TreeMap<>());
				JsonNode item = edit.applyTo(items.get(edit.id()));
				if (item != null) {
					items.put(edit.id(), item);
				}
				else {
					items.remove(edit.id());
				}
			}
			changed.set(index, this.shards.get(index).next(ConfigurationShard.write(sections), changeId));
		});
		return changed;
	}

	private void visitChanges(ConfigurationDocument other, ChangeVisitor visitor) {
		for (int i = 0; i < this.shards.size(); i++) {
			if (this.shards.get(i).text().equals(other.shards.get(i).text())) {
				continue;
			}
			Map<String, Map<String, JsonNode>> before = this.shards.get(i).sections();
			Map<String, Map<String, JsonNode>> after = other.shards.get(i).sections();
			TreeSet<String> sections = new TreeSet<>(before.keySet());
			sections.addAll(after.keySet());
			for (String section : sections) {
				Map<String, JsonNode> itemsBefore = before.getOrDefault(section, Map.of());
				Map<String, JsonNode> itemsAfter = after.getOrDefault(section, Map.of());
				TreeSet<String> ids = new TreeSet<>(itemsBefore.keySet());
				ids.addAll(itemsAfter.keySet());
				for (String id : ids) {
					if (!Objects.equals(itemsBefore.get(id), itemsAfter.get(id))) {
						visitor.visit(section, id, itemsBefore.get(id), itemsAfter.get(id));
					}
				}
			}
		}
	}

	@FunctionalInterface
	private interface ChangeVisitor {

		void visit(String section, String id, @Nullable JsonNode before, @Nullable JsonNode after);

	}

}
