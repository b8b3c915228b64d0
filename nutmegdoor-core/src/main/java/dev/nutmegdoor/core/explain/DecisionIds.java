package dev.nutmegdoor.core.explain;

import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Issues the decision identifiers of one instance and parses those of any instance. The
 * format is {@code <instance>:<sequence>}. Thread-safe.
 */
public final class DecisionIds {

	private static final char SEPARATOR = ':';

	private final InstanceId instance;

	private final AtomicLong sequence = new AtomicLong();

	public DecisionIds(InstanceId instance) {
		this.instance = instance;
	}

	/**
	 * Issues the next identifier.
	 * @return an identifier that is unique in the fleet
	 */
	public DecisionId next() {
		return new DecisionId(this.instance.value() + SEPARATOR + this.sequence.incrementAndGet());
	}

	/**
	 * Returns the instance that issued an identifier.
	 * @param id identifier issued by any instance
	 * @return the instance, or {@code null} if the identifier does not have the expected
	 * format
	 */
	public static @Nullable InstanceId issuingInstance(DecisionId id) {
		int separatorIndex = id.value().lastIndexOf(SEPARATOR);
		return (separatorIndex > 0) ? new InstanceId(id.value().substring(0, separatorIndex)) : null;
	}

	/**
	 * Returns whether this instance issued an identifier, in which case a missing record
	 * has been discarded.
	 * @param id identifier to check
	 * @return {@code true} if the identifier was issued since the start of the instance
	 */
	boolean hasIssued(DecisionId id) {
		int separatorIndex = id.value().lastIndexOf(SEPARATOR);
		if (!this.instance.equals(issuingInstance(id))) {
			return false;
		}
		try {
			long sequenceNumber = Long.parseLong(id.value().substring(separatorIndex + 1));
			return sequenceNumber > 0 && sequenceNumber <= this.sequence.get();
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

}
