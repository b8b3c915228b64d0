package dev.nutmegdoor.core.schedule;

import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Holds the receivers of the decisions, invariant checks and steps of the scheduler.
 *
 * @param decisions receives the records of decisions
 * @param invariants receives the outcome of invariant checks
 * @param steps called when a call reaches the steps {@code DISPATCH} and {@code STREAM}
 */
public record Observers(DecisionRecorder decisions, InvariantRegistry invariants, StepListener steps) {

}
