package dev.nutmegdoor.core.explain;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import dev.nutmegdoor.core.id.DecisionId;

/**
 * Explanation of why a request was admitted, delayed, rejected or placed.
 *
 * @param id identifier of the decision
 * @param status whether records are available
 * @param records JSON forms of {@link DecisionRecord}, oldest first
 */
public record Explanation(DecisionId id, ExplanationStatus status, List<JsonNode> records) {

	public Explanation {
		records = List.copyOf(records);
	}

}
