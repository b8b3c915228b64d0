package dev.nutmegdoor.core.explain;

/**
 * Result of the verification of a decision record.
 *
 * @param status whether the replayed outcome equals the recorded outcome
 * @param detail description of the difference or the reason why the record cannot be
 * replayed; empty if the outcomes are equal
 */
public record Verification(VerificationStatus status, String detail) {

}
