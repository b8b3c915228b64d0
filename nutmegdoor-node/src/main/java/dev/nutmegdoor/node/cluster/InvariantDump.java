package dev.nutmegdoor.node.cluster;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Section of the state dump with the results of invariant checks.
 *
 * @param counters numbers of checks and violations by name of the invariant
 * @param latestViolations descriptions of the latest violations, oldest first
 */
record InvariantDump(Map<String, Counter> counters, List<String> latestViolations) {

	static InvariantDump of(InvariantRegistry registry) {
		Map<String, Counter> counters = new LinkedHashMap<>();
		for (Invariant invariant : Invariant.values()) {
			counters.put(invariant.name(), new Counter(registry.checked(invariant), registry.violated(invariant)));
		}
		return new InvariantDump(counters, registry.violations());
	}

	/**
	 * Counters of one invariant.
	 *
	 * @param checked number of checks, failed ones included
	 * @param violated number of failed checks
	 */
	record Counter(long checked, long violated) {

	}

}
