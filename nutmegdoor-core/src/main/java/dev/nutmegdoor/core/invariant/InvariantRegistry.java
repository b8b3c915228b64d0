package dev.nutmegdoor.core.invariant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Counts checks and violations of invariants and retains the descriptions of the latest
 * violations. Thread-safe.
 */
public final class InvariantRegistry {

	private static final int MAX_RETAINED_VIOLATIONS = 100;

	private final Map<Invariant, Counter> counters = new EnumMap<>(Invariant.class);

	private final Deque<String> violations = new ArrayDeque<>();

	public InvariantRegistry() {
		for (Invariant invariant : Invariant.values()) {
			this.counters.put(invariant, new Counter());
		}
	}

	/**
	 * Records one check of an invariant.
	 * @param invariant invariant that was checked
	 * @param isSatisfied whether the invariant held
	 * @param detail supplies the description of a violation; called only if
	 * {@code isSatisfied} is {@code false}
	 * @return {@code isSatisfied}
	 */
	public synchronized boolean check(Invariant invariant, boolean isSatisfied, Supplier<String> detail) {
		Counter counter = counter(invariant);
		counter.checked++;
		if (!isSatisfied) {
			counter.violated++;
			if (this.violations.size() == MAX_RETAINED_VIOLATIONS) {
				this.violations.removeFirst();
			}
			this.violations.addLast(invariant + ": " + detail.get());
		}
		return isSatisfied;
	}

	public synchronized long checked(Invariant invariant) {
		return counter(invariant).checked;
	}

	public synchronized long violated(Invariant invariant) {
		return counter(invariant).violated;
	}

	/**
	 * Returns the latest violations.
	 * @return a copy of at most 100 descriptions, oldest first
	 */
	public synchronized List<String> violations() {
		return new ArrayList<>(this.violations);
	}

	private Counter counter(Invariant invariant) {
		Counter counter = this.counters.get(invariant);
		if (counter == null) {
			throw new IllegalStateException("no counter for " + invariant);
		}
		return counter;
	}

	private static final class Counter {

		private long checked;

		private long violated;

	}

}
