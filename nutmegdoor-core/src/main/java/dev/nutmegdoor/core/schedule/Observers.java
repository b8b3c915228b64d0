package dev.nutmegdoor.core.schedule;

import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Receivers of what the scheduler decides and does.
 *
 * @param decisions receives records of decisions
 * @param invariants counts checks of invariants
 * @param steps called at the steps {@code DISPATCH} and {@code STREAM}
 */
public record Observers(DecisionRecorder decisions, InvariantRegistry invariants, StepListener steps) {

}
