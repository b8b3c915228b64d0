package dev.nutmegdoor.core.explain;

/**
 * Outcome of a verification.
 *
 * @param status whether the replayed outcome agrees
 * @param detail difference, empty if there is none
 */
public record Verification(VerificationStatus status, String detail) {

}
