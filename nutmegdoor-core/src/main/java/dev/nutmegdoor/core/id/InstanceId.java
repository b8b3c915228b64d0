package dev.nutmegdoor.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one run of one entry instance: a restarted process has a new identifier,
 * because it owns nothing of what its predecessor owned.
 *
 * @param value a non-blank string
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public InstanceId {
		Identifiers.requireValid("InstanceId", value);
	}

	@Override
	public int compareTo(InstanceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
