package dev.nutmegdoor.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a program and names the partition that is its home:
 * {@code <availability zone>.<partition>.<random>}.
 *
 * @param availabilityZone zone in which the program was opened
 * @param partition partition number within the zone, starting at 0
 * @param suffix random part that makes the identifier unique
 */
public record ProgramId(AvailabilityZone availabilityZone, int partition, String suffix) {

	public ProgramId {
		if (partition < 0) {
			throw new IllegalArgumentException("partition must not be negative but is " + partition);
		}
		Identifiers.requireValid("ProgramId suffix", suffix);
		if (availabilityZone.value().indexOf('.') >= 0 || suffix.indexOf('.') >= 0) {
			throw new IllegalArgumentException("zone and suffix of a program id must not contain '.'");
		}
	}

	/**
	 * Parses the text representation of a program identifier.
	 * @param text {@code <availability zone>.<partition>.<suffix>}
	 * @return the identifier
	 * @throws IllegalArgumentException if the text does not have that format
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public static ProgramId parse(String text) {
		String[] parts = text.split("\\.", -1);
		if (parts.length != 3) {
			throw new IllegalArgumentException(
					"program id must have the form <zone>.<partition>.<suffix> but is '" + text + "'");
		}
		try {
			return new ProgramId(new AvailabilityZone(parts[0]), Integer.parseInt(parts[1]), parts[2]);
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("partition of program id is not a number: '" + text + "'", ex);
		}
	}

	/**
	 * Returns the name of the partition that is the program's home.
	 * @return {@code <availability zone>.<partition>}
	 */
	public String partitionName() {
		return this.availabilityZone.value() + "." + this.partition;
	}

	@Override
	@JsonValue
	public String toString() {
		return partitionName() + "." + this.suffix;
	}

}
