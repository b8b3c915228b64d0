package dev.nutmegdoor.node.operator;

import java.util.List;

import dev.nutmegdoor.core.explain.ExplanationStatus;
import dev.nutmegdoor.core.id.DecisionId;

/**
 * An explanation whose records were verified.
 *
 * @param id identifier of the decision
 * @param status whether records are kept
 * @param records the records, oldest first
 */
public record VerifiedExplanation(DecisionId id, ExplanationStatus status, List<VerifiedRecord> records) {

	public VerifiedExplanation {
		records = List.copyOf(records);
	}

}
