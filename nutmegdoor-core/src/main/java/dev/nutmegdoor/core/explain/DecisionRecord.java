package dev.nutmegdoor.core.explain;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * One decision on a request. A request with several decisions has several records under
 * the same identifier.
 *
 * @param id identifier that the client receives
 * @param kind kind of the decision
 * @param wallClockMs time of the decision in milliseconds since the Unix epoch
 * @param workspace workspace of the request, or {@code null} before authentication
 * @param isRefusal whether the request was rejected
 * @param rule name of the rule that determined the outcome
 * @param inputs immutable record of everything that the pure decision function read,
 * including the ages of its inputs
 * @param outcome immutable record that the decision function returned
 * @param alternatives alternatives that were considered, the best first
 * @param counterfactual what would have to be different for another outcome
 */
public record DecisionRecord(DecisionId id, DecisionKind kind, long wallClockMs, @Nullable WorkspaceId workspace,
		boolean isRefusal, String rule, Object inputs, Object outcome, List<DecisionAlternative> alternatives,
		String counterfactual) {

	public DecisionRecord {
		alternatives = List.copyOf(alternatives);
	}

}
