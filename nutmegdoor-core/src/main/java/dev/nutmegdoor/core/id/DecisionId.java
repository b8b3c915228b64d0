package dev.nutmegdoor.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies the recorded decisions on one request, such as its admission, delay,
 * rejection or placement.
 *
 * @param value 1 to 128 characters without spaces, control characters or {@code '/'}
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
