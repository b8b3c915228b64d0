package dev.nutmegdoor.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies the key of a client without revealing its secret.
 *
 * @param value 1 to 128 characters without spaces, control characters or {@code '/'}
 */
public record KeyId(@JsonValue String value) implements Comparable<KeyId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public KeyId {
		Identifiers.requireValid("KeyId", value);
	}

	@Override
	public int compareTo(KeyId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
