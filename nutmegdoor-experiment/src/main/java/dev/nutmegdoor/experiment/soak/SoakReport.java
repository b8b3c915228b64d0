package dev.nutmegdoor.experiment.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Outcome of a randomised run.
 *
 * @param settings settings of the run
 * @param faults faults caused, by kind
 * @param checks checks of each invariant
 * @param violations violations of each invariant
 * @param details descriptions of the violations
 * @param trace last events if there were violations
 * @param completedCalls calls that callers got an answer to
 * @param digest digest of all events
 */
public record SoakReport(SoakSettings settings, Map<FaultKind, Long> faults, Map<Invariant, Long> checks,
		Map<Invariant, Long> violations, List<String> details, List<String> trace, long completedCalls, long digest) {

	public SoakReport {
		details = List.copyOf(details);
		trace = List.copyOf(trace);
	}

	static SoakReport of(SoakSettings settings, Map<FaultKind, Long> faults, InvariantRegistry registry,
			EventTrace trace, long completedCalls) {
		Map<Invariant, Long> checks = new EnumMap<>(Invariant.class);
		Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);
		for (Invariant invariant : Invariant.values()) {
			checks.put(invariant, registry.checked(invariant));
			violations.put(invariant, registry.violated(invariant));
		}
		List<String> details = registry.violations();
		return new SoakReport(settings, new EnumMap<>(faults), checks, violations, details,
				details.isEmpty() ? List.of() : trace.last(), completedCalls, trace.digest());
	}

	public long violationCount() {
		return this.violations.values().stream().mapToLong(Long::longValue).sum();
	}

	public long checkCount() {
		return this.checks.values().stream().mapToLong(Long::longValue).sum();
	}

	public long faultCount() {
		return this.faults.values().stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * Returns the report as text.
	 * @return one line per kind of fault and per invariant, the trace of a violation, and
	 * a summary as the last line
	 */
	public List<String> lines() {
		List<String> lines = new ArrayList<>();
		this.faults.forEach((kind, count) -> lines.add("fault=" + kind.optionName() + " caused=" + count));
		this.checks.forEach((invariant, count) -> lines.add("invariant=" + invariant + " checks=" + count
				+ " violations=" + this.violations.getOrDefault(invariant, 0L)));
		lines.add("calls=" + this.completedCalls + " digest=" + Long.toHexString(this.digest));
		this.trace.forEach((event) -> lines.add("trace " + event));
		this.details.forEach((detail) -> lines.add("violation " + detail));
		lines.add(summary());
		return lines;
	}

	public String summary() {
		return "seed=" + this.settings.seed() + " steps=" + this.settings.steps() + " faults=" + faultCount()
				+ " checks=" + checkCount() + " violations=" + violationCount();
	}

}
