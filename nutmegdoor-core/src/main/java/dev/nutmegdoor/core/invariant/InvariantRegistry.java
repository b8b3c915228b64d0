package dev.nutmegdoor.core.invariant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Counts checks and violations of invariants and keeps the latest violations. Checks may
 * come from any thread.
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
	 * @param invariant the invariant
	 * @param isSatisfied outcome of the check
	 * @param detail describes the violation; evaluated only if there is one
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
	 * Returns the latest violations, oldest first.
	 * @return a copy of at most the last hundred descriptions
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
