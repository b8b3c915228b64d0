package dev.nutmegdoor.core.limit;

/**
 * The last step that was decided for an admission, with its inputs; for the explanation.
 *
 * @param inputs inputs of {@link AdmissionRule#decide}
 * @param step its outcome
 */
public record AdmissionDecision(AdmissionInputs inputs, AdmissionStep step) {

}
