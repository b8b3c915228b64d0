package dev.nutmegdoor.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.jspecify.annotations.Nullable;

/**
 * Identifies an availability zone of the platform.
 *
 * @param value 1 to 128 characters without spaces, control characters or {@code '/'}
 */
public record AvailabilityZone(@JsonValue String value) implements Comparable<AvailabilityZone> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public AvailabilityZone {
		Identifiers.requireValid("AvailabilityZone", value);
	}

	@Override
	public int compareTo(AvailabilityZone other) {
		return this.value.compareTo(other.value);
	}

	// The generated methods of a record are linked at run time, which delays each start.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof AvailabilityZone id && id.value.equals(this.value);
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
