package dev.nutmegdoor.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.jspecify.annotations.Nullable;

/**
 * Identifies one run of an entry instance. A restarted process has a new identifier,
 * because it owns nothing that the previous run owned.
 *
 * @param value 1 to 128 characters without spaces, control characters or {@code '/'}
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

	// The generated methods of a record are linked at run time, which delays each start.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof InstanceId id && id.value.equals(this.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
