package dev.nutmegdoor.experiment.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * What one run measures. Programs that arrive during the warm-up are not counted.
 */
final class RunMetrics {

	private static final long LONGEST_MS = 3_600_000;

	private final long warmUpMs;

	private final boolean hasHeavyWorkspace;

	private final Histogram firstTokenMs = new Histogram(LONGEST_MS, 3);

	private final Histogram nextTokenMs = new Histogram(LONGEST_MS, 3);

	private final Map<ProgramSpec, Long> latenciesMs = new LinkedHashMap<>();

	private long reusableTokens;

	private long wastedTokens;

	private long callsWithinRate;

	private long refusedWithinRate;

	private int failedPrograms;

	RunMetrics(long warmUpMs, boolean hasHeavyWorkspace) {
		this.warmUpMs = warmUpMs;
		this.hasHeavyWorkspace = hasHeavyWorkspace;
	}

	void callStarted(int workspace) {
		if (isWithinRate(workspace)) {
			this.callsWithinRate++;
		}
	}

	void callRefused(int workspace) {
		if (isWithinRate(workspace)) {
			this.refusedWithinRate++;
		}
	}

	void callCompleted(int historyTokens, int cachedTokens) {
		this.reusableTokens += historyTokens;
		this.wastedTokens += Math.max(0, historyTokens - cachedTokens);
	}

	void firstToken(long ms) {
		this.firstTokenMs.recordValue(Math.min(LONGEST_MS, ms));
	}

	void nextToken(long ms) {
		this.nextTokenMs.recordValue(Math.min(LONGEST_MS, ms));
	}

	void programEnded(ProgramSpec spec, long latencyMs, boolean isComplete) {
		if (spec.arrivalMs() >= this.warmUpMs) {
			this.latenciesMs.put(spec, latencyMs);
			this.failedPrograms += isComplete ? 0 : 1;
		}
	}

	// Programs that did not end count with the time until the end of the run.
	void programUnfinished(ProgramSpec spec, long untilMs) {
		if (spec.arrivalMs() >= this.warmUpMs && !this.latenciesMs.containsKey(spec)) {
			this.latenciesMs.put(spec, untilMs - spec.arrivalMs());
			this.failedPrograms++;
		}
	}

	Map<ProgramSpec, Long> latenciesMs() {
		return this.latenciesMs;
	}

	double wastedFraction() {
		return (this.reusableTokens > 0) ? (double) this.wastedTokens / this.reusableTokens : 0;
	}

	double refusedWithinRate() {
		return (this.callsWithinRate > 0) ? (double) this.refusedWithinRate / this.callsWithinRate : 0;
	}

	double firstTokenP95() {
		return this.firstTokenMs.getValueAtPercentile(95);
	}

	double nextTokenP95() {
		return this.nextTokenMs.getValueAtPercentile(95);
	}

	int failedPrograms() {
		return this.failedPrograms;
	}

	private boolean isWithinRate(int workspace) {
		return !this.hasHeavyWorkspace || workspace != Deployment.HEAVY_WORKSPACE;
	}

}
