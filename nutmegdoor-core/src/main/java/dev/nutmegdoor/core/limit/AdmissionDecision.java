package dev.nutmegdoor.core.limit;

/**
 * Records the last step that was decided for an admission, with its inputs, so that it
 * can be explained and replayed.
 *
 * @param inputs argument of {@link AdmissionRule#decide}
 * @param step result for these inputs
 */
public record AdmissionDecision(AdmissionInputs inputs, AdmissionStep step) {

}
