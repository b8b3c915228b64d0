package dev.nutmegdoor.node.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.explain.ExplanationStatus;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Joins what the instances know of one decision, oldest first.
 */
final class ExplanationCollector {

	private final DecisionId id;

	private final InstanceId issuer;

	private final List<ObjectNode> records = new ArrayList<>();

	private final List<String> unreachable = new ArrayList<>();

	private String issuerStatus = "ISSUER_GONE";

	ExplanationCollector(DecisionId id, InstanceId issuer) {
		this.id = id;
		this.issuer = issuer;
	}

	void add(InstanceId instance, @Nullable JsonNode answer) {
		if (answer == null) {
			this.unreachable.add(instance.value());
			return;
		}
		if (instance.equals(this.issuer)) {
			this.issuerStatus = answer.path("status").asText();
		}
		for (JsonNode item : answer.path("records")) {
			ObjectNode entry = item.has("record") ? (ObjectNode) item : item.<ObjectNode>deepCopy();
			entry.put("instance", instance.value());
			this.records.add(entry);
		}
	}

	ObjectNode result(ObjectMapper mapper) {
		this.records.sort(Comparator.comparingLong(ExplanationCollector::timeMs));
		ObjectNode result = mapper.createObjectNode();
		result.put("id", this.id.value());
		result.put("status", this.records.isEmpty() ? this.issuerStatus : ExplanationStatus.FOUND.name());
		result.putArray("records").addAll(this.records);
		result.set("unreachable", mapper.valueToTree(this.unreachable));
		boolean isDiffering = this.records.stream()
			.anyMatch((item) -> item.path("verification").path("status").asText().equals("DIFFERS"));
		result.put("isFailed", this.records.isEmpty() || isDiffering);
		return result;
	}

	private static long timeMs(JsonNode item) {
		return (item.has("record") ? item.path("record") : item).path("wallClockMs").asLong();
	}

}
