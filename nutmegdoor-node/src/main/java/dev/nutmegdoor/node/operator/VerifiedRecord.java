package dev.nutmegdoor.node.operator;

import com.fasterxml.jackson.databind.JsonNode;

import dev.nutmegdoor.core.explain.Verification;

/**
 * A decision record with its verification.
 *
 * @param record JSON form of the record
 * @param verification whether the decision could be reproduced
 */
public record VerifiedRecord(JsonNode record, Verification verification) {

}
