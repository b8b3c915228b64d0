package dev.nutmegdoor.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a recorded decision to admit, delay, refuse or place a request.
 *
 * @param value a non-blank string
 */
public record DecisionId(@JsonValue String value) implements Comparable<DecisionId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public DecisionId {
		Identifiers.requireValid("DecisionId", value);
	}

	@Override
	public int compareTo(DecisionId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
