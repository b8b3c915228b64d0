package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Head of a configuration: its version and the names of its shards.
 *
 * @param version version of the configuration
 * @param changeId identifier of the change that produced the version
 * @param author operator that requested the change
 * @param timeMs wall-clock time of the change in milliseconds since the Unix epoch
 * @param shards names of the shards by index; the name of a shard without items is empty
 * @param recentChangeIds identifiers of the latest changes, latest first; a committer
 * whose write had an unknown outcome finds its change here even after later changes
 * @param text JSON form, with unknown fields of newer versions
 */
record ConfigurationHead(long version, String changeId, String author, long timeMs, List<String> shards,
		List<String> recentChangeIds, String text) {

	/**
	 * Number of shards. A shard takes about 100 KB with 21,000 workspaces and their keys.
	 */
	static final int SHARD_COUNT = 64;

	static final ConfigurationHead EMPTY = parse(ConfigurationJson
		.write(ConfigurationJson.object().set("shards", textArray(Collections.nCopies(SHARD_COUNT, "")))));

	private static final int MAX_RECENT_CHANGE_IDS = 32;

	ConfigurationHead {
		shards = List.copyOf(shards);
		recentChangeIds = List.copyOf(recentChangeIds);
		if (shards.size() != SHARD_COUNT) {
			throw new IllegalArgumentException("head must name " + SHARD_COUNT + " shards but names " + shards.size());
		}
	}

	static ConfigurationHead parse(String text) {
		JsonNode json = ConfigurationJson.parse(text);
		return new ConfigurationHead(json.path("version").asLong(), json.path("changeId").asText(),
				json.path("author").asText(), json.path("timeMs").asLong(), texts(json.path("shards")),
				texts(json.path("recentChangeIds")), text);
	}

	/**
	 * Creates the head that follows this one; unknown fields are kept.
	 * @param changeId identifier of the change
	 * @param author operator that requested the change
	 * @param timeMs wall-clock time in milliseconds since the Unix epoch
	 * @param shards names of the shards
	 * @return the next head
	 */
	ConfigurationHead next(String changeId, String author, long timeMs, List<String> shards) {
		List<String> changeIds = new ArrayList<>();
		changeIds.add(changeId);
		changeIds
			.addAll(this.recentChangeIds.subList(0, Math.min(MAX_RECENT_CHANGE_IDS - 1, this.recentChangeIds.size())));
		ObjectNode json = (ObjectNode) ConfigurationJson.parse(this.text);
		json.put("version", this.version + 1);
		json.put("changeId", changeId);
		json.put("author", author);
		json.put("timeMs", timeMs);
		json.set("shards", textArray(shards));
		json.set("recentChangeIds", textArray(changeIds));
		return parse(ConfigurationJson.write(json));
	}

	private static ArrayNode textArray(List<String> texts) {
		ArrayNode array = ConfigurationJson.object().arrayNode();
		texts.forEach(array::add);
		return array;
	}

	private static List<String> texts(JsonNode array) {
		List<String> texts = new ArrayList<>();
		array.forEach((element) -> texts.add(element.asText()));
		return texts;
	}

}
