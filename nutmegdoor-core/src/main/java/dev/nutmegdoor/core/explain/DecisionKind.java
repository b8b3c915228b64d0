package dev.nutmegdoor.core.explain;

/**
 * Kinds of recorded decisions.
 */
public enum DecisionKind {

	AUTHENTICATION, ADMISSION, ROUTING, ORDER, BUDGET, QUEUE, PLACEMENT, AT_MOST_ONCE, OUTCOME

}
