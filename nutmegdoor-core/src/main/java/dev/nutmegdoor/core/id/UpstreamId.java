package dev.nutmegdoor.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.jspecify.annotations.Nullable;

/**
 * Identifies one replica of a model engine or of a plain service.
 *
 * @param value 1 to 128 characters without spaces, control characters or {@code '/'}
 */
public record UpstreamId(@JsonValue String value) implements Comparable<UpstreamId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public UpstreamId {
		Identifiers.requireValid("UpstreamId", value);
	}

	@Override
	public int compareTo(UpstreamId other) {
		return this.value.compareTo(other.value);
	}

	// The generated methods of a record are linked at run time, which delays each start.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof UpstreamId id && id.value.equals(this.value);
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
