package dev.nutmegdoor.node.cluster;

import java.util.EnumMap;
import java.util.Map;

import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.explain.DecisionReplay;
import dev.nutmegdoor.core.explain.DecisionVerifier;
import dev.nutmegdoor.core.limit.AdmissionInputs;
import dev.nutmegdoor.core.limit.AdmissionRule;
import dev.nutmegdoor.core.placement.Placement;
import dev.nutmegdoor.core.placement.PlacementInput;
import dev.nutmegdoor.core.program.AtMostOnceInputs;
import dev.nutmegdoor.core.program.AtMostOnceRule;
import dev.nutmegdoor.core.program.BudgetInputs;
import dev.nutmegdoor.core.program.BudgetRule;
import dev.nutmegdoor.core.program.OrderInputs;
import dev.nutmegdoor.core.program.OrderRule;
import dev.nutmegdoor.core.schedule.QueueInput;

/**
 * Maps each replayable kind of decision to the function that made it, so that recorded
 * decisions can be verified.
 */
final class DecisionFunctions {

	private DecisionFunctions() {
	}

	static DecisionVerifier verifier() {
		Map<DecisionKind, DecisionReplay<?>> replays = new EnumMap<>(DecisionKind.class);
		replays.put(DecisionKind.ADMISSION, new DecisionReplay<>(AdmissionInputs.class, AdmissionRule::decide));
		replays.put(DecisionKind.ORDER, new DecisionReplay<>(OrderInputs.class, OrderRule::decide));
		replays.put(DecisionKind.BUDGET, new DecisionReplay<>(BudgetInputs.class, BudgetRule::decide));
		replays.put(DecisionKind.AT_MOST_ONCE, new DecisionReplay<>(AtMostOnceInputs.class, AtMostOnceRule::decide));
		replays.put(DecisionKind.QUEUE, new DecisionReplay<>(QueueInput.class, QueueInput::decide));
		replays.put(DecisionKind.PLACEMENT, new DecisionReplay<>(PlacementInput.class, Placement::decide));
		return new DecisionVerifier(replays);
	}

}
