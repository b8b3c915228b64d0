package dev.nutmegdoor.experiment.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * What callers observed, in microseconds, tokens and counts.
 */
final class LoadMetrics {

	private static final long MAX_US = 600_000_000;

	private static final int DIGITS = 3;

	/** Slowdowns are recorded in thousandths. */
	private static final double SLOWDOWN_UNIT = 1_000;

	private final Histogram programLatencyUs = new ConcurrentHistogram(MAX_US, DIGITS);

	private final Histogram firstTokenUs = new ConcurrentHistogram(MAX_US, DIGITS);

	private final Histogram betweenTokensUs = new ConcurrentHistogram(MAX_US, DIGITS);

	private final Map<WorkspaceId, Histogram> slowdowns = new ConcurrentHashMap<>();

	private final Map<String, Long> unloadedUs = new ConcurrentHashMap<>();

	private final AtomicLong cacheableTokens = new AtomicLong();

	private final AtomicLong missedTokens = new AtomicLong();

	private final AtomicLong requests = new AtomicLong();

	private final AtomicLong programs = new AtomicLong();

	private final AtomicLong abandonedPrograms = new AtomicLong();

	private final AtomicLong lost = new AtomicLong();

	private final Map<String, AtomicLong> problems = new ConcurrentHashMap<>();

	private volatile boolean isRecording;

	void startRecording() {
		this.isRecording = true;
	}

	void firstToken(long nanoseconds) {
		if (this.isRecording) {
			this.firstTokenUs.recordValue(Math.min(MAX_US, nanoseconds / 1_000));
		}
	}

	void betweenTokens(long nanoseconds) {
		if (this.isRecording) {
			this.betweenTokensUs.recordValue(Math.min(MAX_US, nanoseconds / 1_000));
		}
	}

	/**
	 * Records a finished program.
	 * @param workspace workspace of the program
	 * @param kind kind of the program
	 * @param wholeNs whole time
	 * @param activeNs time without tool pauses
	 */
	void program(WorkspaceId workspace, String kind, long wholeNs, long activeNs) {
		long activeUs = Math.max(1, activeNs / 1_000);
		if (!this.isRecording) {
			this.unloadedUs.merge(kind, activeUs, Math::min);
			return;
		}
		this.programs.incrementAndGet();
		this.programLatencyUs.recordValue(Math.min(MAX_US, wholeNs / 1_000));
		Long unloaded = this.unloadedUs.get(kind);
		if (unloaded != null) {
			this.slowdowns.computeIfAbsent(workspace, (id) -> new ConcurrentHistogram(MAX_US, DIGITS))
				.recordValue(Math.round(activeUs * SLOWDOWN_UNIT / unloaded));
		}
	}

	void abandoned() {
		this.abandonedPrograms.incrementAndGet();
	}

	void lost() {
		this.lost.incrementAndGet();
	}

	/**
	 * Records the cache use of a turn.
	 * @param cacheable tokens of the prompt that earlier turns had computed
	 * @param cached tokens of the prompt that were cached
	 */
	void cache(int cacheable, int cached) {
		if (this.isRecording) {
			this.cacheableTokens.addAndGet(cacheable);
			this.missedTokens.addAndGet(Math.max(0, cacheable - cached));
		}
	}

	void request(CallOutcome outcome) {
		if (!this.isRecording) {
			return;
		}
		this.requests.incrementAndGet();
		if (!outcome.problem().isEmpty()) {
			this.problems.computeIfAbsent(outcome.problem(), (name) -> new AtomicLong()).incrementAndGet();
		}
	}

	double programLatencyMs(double percentile) {
		return this.programLatencyUs.getValueAtPercentile(percentile) / 1_000.0;
	}

	double firstTokenMs(double percentile) {
		return this.firstTokenUs.getValueAtPercentile(percentile) / 1_000.0;
	}

	double betweenTokensMs(double percentile) {
		return this.betweenTokensUs.getValueAtPercentile(percentile) / 1_000.0;
	}

	double wastedCacheFraction() {
		return (this.cacheableTokens.get() > 0) ? (double) this.missedTokens.get() / this.cacheableTokens.get() : 0;
	}

	/**
	 * Returns the slowdown of each workspace at the 95th percentile.
	 * @param excluded workspace that is left out because it is above its rate
	 * @return slowdown against the same program on an idle fleet
	 */
	Map<WorkspaceId, Double> slowdowns(WorkspaceId excluded) {
		Map<WorkspaceId, Double> result = new TreeMap<>();
		this.slowdowns.forEach((id, histogram) -> {
			if (!id.equals(excluded)) {
				result.put(id, histogram.getValueAtPercentile(95) / SLOWDOWN_UNIT);
			}
		});
		return result;
	}

	Map<String, Long> problems() {
		Map<String, Long> counts = new TreeMap<>();
		this.problems.forEach((name, count) -> counts.put(name, count.get()));
		return counts;
	}

	long requests() {
		return this.requests.get();
	}

	long programs() {
		return this.programs.get();
	}

	long abandonedPrograms() {
		return this.abandonedPrograms.get();
	}

	long lostCalls() {
		return this.lost.get();
	}

}
