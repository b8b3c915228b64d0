package dev.nutmegdoor.core.explain;

import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Issues decision identifiers of one instance and reads those of others. The form is
 * {@code <instance>:<sequence>}. May be used from any thread.
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
	 * @return an identifier that no other request has
	 */
	public DecisionId next() {
		return new DecisionId(this.instance.value() + SEPARATOR + this.sequence.incrementAndGet());
	}

	/**
	 * Returns the instance that issued an identifier.
	 * @param id the identifier
	 * @return the instance, or {@code null} if the identifier has another form
	 */
	public static @Nullable InstanceId instanceOf(DecisionId id) {
		int index = id.value().lastIndexOf(SEPARATOR);
		return (index > 0) ? new InstanceId(id.value().substring(0, index)) : null;
	}

	/**
	 * Returns whether this instance issued an identifier and may have dropped its
	 * records.
	 * @param id the identifier
	 * @return {@code true} if the identifier was issued in this run
	 */
	boolean hasIssued(DecisionId id) {
		int index = id.value().lastIndexOf(SEPARATOR);
		if (!this.instance.equals(instanceOf(id))) {
			return false;
		}
		try {
			long number = Long.parseLong(id.value().substring(index + 1));
			return number > 0 && number <= this.sequence.get();
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

}
