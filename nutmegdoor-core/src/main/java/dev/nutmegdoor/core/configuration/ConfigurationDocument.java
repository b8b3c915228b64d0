package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.distribution.ChunkedIteration;
import dev.nutmegdoor.core.time.TimerService;

/**
 * One version of the configuration together with its stored form.
 *
 * @param head version and shard names
 * @param shards the shards named by the head, in the same order
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
	 * @param timer runs the work in chunks, so that it does not block the control thread
	 * @param edits edits to apply
	 * @param changeId identifier of the change
	 * @param author operator that requested the change
	 * @return the next version, not validated, or this one if the edits change nothing;
	 * fails with {@link IllegalArgumentException} if an edit isn't JSON
	 */
	CompletableFuture<ConfigurationDocument> next(TimerService timer, List<ConfigurationEdit> edits, String changeId,
			String author) {
		return editShards(timer, edits, (index, text) -> this.shards.get(index).next(text, changeId))
			.thenApply((editedShards) -> {
				if (editedShards.equals(this.shards)) {
					return this;
				}
				List<String> names = editedShards.stream().map(ConfigurationShard::name).toList();
				return of(this.head.next(changeId, author, timer.wallClockMs(), names), editedShards);
			});
	}

	/**
	 * Applies edits whose result is described by a given head.
	 * @param timer runs the work in chunks, so that it does not block the control thread
	 * @param edits edits from this version to the target
	 * @param target the head of the resulting version
	 * @return the resulting version; fails with {@link IllegalArgumentException} if the
	 * resulting shards don't match those of the target
	 */
	CompletableFuture<ConfigurationDocument> advanceTo(TimerService timer, List<ConfigurationEdit> edits,
			ConfigurationHead target) {
		return editShards(timer, edits, (index, text) -> {
			String name = target.shards().get(index);
			ConfigurationShard shard = this.shards.get(index);
			return shard.name().equals(name) ? shard : ConfigurationShard.verified(name, text);
		}).thenApply((editedShards) -> {
			if (!editedShards.stream().map(ConfigurationShard::name).toList().equals(target.shards())) {
				throw new IllegalArgumentException("edits do not produce the shards of version " + target.version());
			}
			return of(target, editedShards);
		});
	}

	/**
	 * Compares this version with another one.
	 * @param timer runs the work in chunks, so that it does not block the control thread
	 * @param other the version to compare with
	 * @return the changes from this version to the other one
	 */
	CompletableFuture<ConfigurationComparison> compare(TimerService timer, ConfigurationDocument other) {
		List<ConfigurationEdit> edits = new ArrayList<>();
		List<ConfigurationDifference> differences = new ArrayList<>();
		return ChunkedIteration.forEach(timer, changedShards(other),
				(index) -> visitDifferences(index, other, (section, id, before, after) -> {
					String value = (after != null) ? ConfigurationJson.write(after) : null;
					edits.add(new ConfigurationEdit(section, id, value, true));
					differences.add(new ConfigurationDifference(section + "/" + id, redact(before), redact(after)));
				}))
			.thenApply((ignored) -> new ConfigurationComparison(edits, differences));
	}

	/**
	 * Returns whether any of the edited items differs between this version and another.
	 * @param edits edits whose items are compared
	 * @param other the version to compare with
	 * @return {@code true} if at least one edited item differs
	 */
	boolean isAffectedBy(List<ConfigurationEdit> edits, ConfigurationDocument other) {
		Set<String> changedPaths = new HashSet<>();
		for (int index : changedShards(other)) {
			visitDifferences(index, other, (section, id, before, after) -> changedPaths.add(section + "/" + id));
		}
		return edits.stream().anyMatch((edit) -> changedPaths.contains(edit.path()));
	}

	private List<Integer> changedShards(ConfigurationDocument other) {
		List<Integer> indexes = new ArrayList<>();
		for (int i = 0; i < this.shards.size(); i++) {
			if (!this.shards.get(i).text().equals(other.shards.get(i).text())) {
				indexes.add(i);
			}
		}
		return indexes;
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

	private CompletableFuture<List<ConfigurationShard>> editShards(TimerService timer, List<ConfigurationEdit> edits,
			BiFunction<Integer, String, ConfigurationShard> factory) {
		Map<Integer, List<ConfigurationEdit>> byShard = new TreeMap<>();
		for (ConfigurationEdit edit : edits) {
			byShard.computeIfAbsent(ConfigurationShard.indexOf(edit.section(), edit.id()), (key) -> new ArrayList<>())
				.add(edit);
		}
		List<ConfigurationShard> editedShards = new ArrayList<>(this.shards);
		return ChunkedIteration.forEach(timer, List.copyOf(byShard.entrySet()), (entry) -> {
			String text = editedText(this.shards.get(entry.getKey()), entry.getValue());
			editedShards.set(entry.getKey(), factory.apply(entry.getKey(), text));
		}).thenApply((ignored) -> editedShards);
	}

	private static String editedText(ConfigurationShard shard, List<ConfigurationEdit> edits) {
		Map<String, Map<String, JsonNode>> sections = shard.sections();
		for (ConfigurationEdit edit : edits) {
			Map<String, JsonNode> items = sections.computeIfAbsent(edit.section(), (key) -> new TreeMap<>());
			JsonNode item = edit.applyTo(items.get(edit.id()));
			if (item != null) {
				items.put(edit.id(), item);
			}
			else {
				items.remove(edit.id());
			}
		}
		return ConfigurationShard.write(sections);
	}

	private void visitDifferences(int index, ConfigurationDocument other, DifferenceVisitor visitor) {
		Map<String, Map<String, JsonNode>> before = this.shards.get(index).sections();
		Map<String, Map<String, JsonNode>> after = other.shards.get(index).sections();
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

	@FunctionalInterface
	private interface DifferenceVisitor {

		void visit(String section, String id, @Nullable JsonNode before, @Nullable JsonNode after);

	}

}
