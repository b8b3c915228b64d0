package dev.nutmegdoor.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

import dev.nutmegdoor.core.configuration.Upstream;

/**
 * Tracks the calls of this instance at one replica, and the calls of other instances as
 * far as load reports and peers have reported them. Not thread-safe.
 */
final class ReplicaState {

	/**
	 * Ended calls are kept for this time in milliseconds, which exceeds the age of any
	 * report.
	 */
	private static final long ENDED_CALL_RETENTION_MS = 5_000;

	/**
	 * Time in milliseconds for which a call that was cancelled before its answer counts
	 * as under way: a stalled link may still deliver it. A zone is cut off for about 6 s,
	 * and a call is cancelled at its deadline.
	 */
	private static final long CANCELLED_CALL_MS = ENDED_CALL_RETENTION_MS;

	private static final long OTHERS_HALF_LIFE_MS = 1_000;

	private static final int MAX_HALVINGS = 31;

	/**
	 * Assumed until a replica reports its cache; far above the capacity of any engine.
	 */
	private static final long ASSUMED_FREE_CACHE_TOKENS = Long.MAX_VALUE / 4;

	private final List<InFlightCall> ownCalls = new ArrayList<>();

	private final Deque<InFlightCall> endedCalls = new ArrayDeque<>();

	private final DeclaredRate declaredRate = new DeclaredRate();

	private final ReplicaWorkTime workTime = new ReplicaWorkTime();

	private Upstream upstream;

	private int othersInFlight;

	private long othersMeasuredAtMs = Long.MIN_VALUE / 2;

	private int ownAtReport;

	private int freeAtReport;

	private long reportSequence = -1;

	private long reportedBacklogTokens;

	private long reportedFreeCacheTokens;

	private long reportedAtMs = Long.MIN_VALUE / 2;

	ReplicaState(Upstream upstream) {
		this.upstream = upstream;
		this.reportedFreeCacheTokens = ASSUMED_FREE_CACHE_TOKENS;
		this.freeAtReport = upstream.maxConcurrentCalls();
	}

	Upstream upstream() {
		return this.upstream;
	}

	void setUpstream(Upstream upstream) {
		this.upstream = upstream;
	}

	DeclaredRate declaredRate() {
		return this.declaredRate;
	}

	ReplicaWorkTime workTime() {
		return this.workTime;
	}

	InFlightCall startCall(long nowMs, int prefillTokens) {
		this.declaredRate.take(nowMs);
		InFlightCall call = new InFlightCall(nowMs, prefillTokens);
		this.ownCalls.add(call);
		return call;
	}

	void endCall(InFlightCall call, long nowMs) {
		if (this.ownCalls.remove(call)) {
			call.endedAtMs = nowMs;
			this.endedCalls.addLast(call);
		}
		while (!this.endedCalls.isEmpty() && this.endedCalls.getFirst().endedAtMs < nowMs - ENDED_CALL_RETENTION_MS) {
			this.endedCalls.removeFirst();
		}
	}

	// Returns the number of own calls that may have reached the replica in the last
	// window or may still reach it.
	int underWay(long nowMs, long windowMs) {
		int count = 0;
		for (InFlightCall call : this.ownCalls) {
			count += (call.remainingWindowMs(nowMs, windowMs) > 0) ? 1 : 0;
		}
		for (InFlightCall call : this.endedCalls) {
			count += (call.remainingWindowMs(nowMs, windowMs) > 0) ? 1 : 0;
		}
		return count;
	}

	// Returns the time until the first call that is under way no longer is. A running
	// call is expected to be answered now.
	long nextReleaseMs(long nowMs, long windowMs) {
		long nextMs = Long.MAX_VALUE;
		for (InFlightCall call : this.ownCalls) {
			long remainingMs = call.remainingWindowMs(nowMs, windowMs);
			nextMs = (remainingMs > 0) ? Math.min(nextMs, remainingMs) : nextMs;
		}
		for (InFlightCall call : this.endedCalls) {
			long remainingMs = call.remainingWindowMs(nowMs, windowMs);
			nextMs = (remainingMs > 0) ? Math.min(nextMs, remainingMs) : nextMs;
		}
		return nextMs;
	}

	int ownInFlight() {
		return this.ownCalls.size();
	}

	// Returns the number of calls in flight divided by the number of slots.
	double load(long nowMs) {
		return (double) (ownInFlight() + othersInFlight(nowMs)) / Math.max(1, this.upstream.maxConcurrentCalls());
	}

	// Applies a load report. The calls that it counts in excess of the calls that this
	// instance had in flight at the time of the measurement belong to other instances.
	void applyReport(LoadReport report, long nowMs) {
		if (report.sequence() <= this.reportSequence) {
			return;
		}
		long measuredAtMs = nowMs - report.ageMs();
		this.reportSequence = report.sequence();
		this.reportedAtMs = measuredAtMs;
		this.reportedBacklogTokens = report.prefillTokens();
		this.reportedFreeCacheTokens = report.cacheCapacityTokens() - report.usedCacheTokens();
		applyLoad(report.runningCalls() + report.waitingCalls(), measuredAtMs);
	}

	/**
	 * Applies a load that another instance has observed, unless a later one is known.
	 * @param calls running and waiting calls of all instances
	 * @param measuredAtMs time of the measurement in milliseconds
	 */
	void applyObserved(int calls, long measuredAtMs) {
		if (measuredAtMs > this.othersMeasuredAtMs) {
			applyLoad(calls, measuredAtMs);
		}
	}

	private void applyLoad(int calls, long measuredAtMs) {
		int ownAtMeasurement = 0;
		for (InFlightCall call : this.ownCalls) {
			ownAtMeasurement += (call.startedAtMs < measuredAtMs) ? 1 : 0;
		}
		for (InFlightCall call : this.endedCalls) {
			ownAtMeasurement += (call.startedAtMs < measuredAtMs && call.endedAtMs >= measuredAtMs) ? 1 : 0;
		}
		this.ownAtReport = ownAtMeasurement;
		this.freeAtReport = this.upstream.maxConcurrentCalls() - calls;
		setOthersInFlight(Math.max(0, calls - ownAtMeasurement), measuredAtMs);
	}

	// Discards the reported state after a restart of the replica: its sequence numbers
	// start again, and the calls of other instances ended with the previous process.
	void reset(long nowMs) {
		this.reportSequence = -1;
		this.reportedAtMs = nowMs;
		this.reportedBacklogTokens = 0;
		this.reportedFreeCacheTokens = ASSUMED_FREE_CACHE_TOKENS;
		this.ownAtReport = 0;
		this.freeAtReport = this.upstream.maxConcurrentCalls();
		this.declaredRate.withdraw(nowMs, nowMs);
		this.workTime.reset();
		setOthersInFlight(0, nowMs);
	}

	// Sets the number of calls of other instances, unless a more recent number was set.
	void setOthersInFlight(int calls, long measuredAtMs) {
		if (measuredAtMs >= this.othersMeasuredAtMs) {
			this.othersInFlight = calls;
			this.othersMeasuredAtMs = measuredAtMs;
		}
	}

	// A number that has not been confirmed for a long time has little value, so it is
	// halved for each second of its age.
	int othersInFlight(long nowMs) {
		return this.othersInFlight >> Math.min(MAX_HALVINGS, othersAgeMs(nowMs) / OTHERS_HALF_LIFE_MS);
	}

	long othersAgeMs(long nowMs) {
		return Math.min(Integer.MAX_VALUE, nowMs - this.othersMeasuredAtMs);
	}

	// Returns the number of tokens that wait for prefill: the reported number, less the
	// tokens that the replica is estimated to have prefilled since the report, plus the
	// tokens of calls sent after the report that have not produced output.
	long backlogTokens(long nowMs, double prefillPerTokenMs) {
		double prefilledTokens = (nowMs - this.reportedAtMs) * 0.5 / prefillPerTokenMs;
		long backlogTokens = Math.max(0, this.reportedBacklogTokens - (long) prefilledTokens);
		for (Iterator<InFlightCall> iterator = this.ownCalls.iterator(); iterator.hasNext();) {
			InFlightCall call = iterator.next();
			backlogTokens += (call.startedAtMs >= this.reportedAtMs && !call.hasOutput) ? call.prefillTokens : 0;
		}
		return backlogTokens;
	}

	int ownAtReport() {
		return this.ownAtReport;
	}

	int freeAtReport() {
		return this.freeAtReport;
	}

	long freeCacheTokens() {
		return this.reportedFreeCacheTokens;
	}

	static final class InFlightCall {

		private final long startedAtMs;

		private final int prefillTokens;

		private long endedAtMs = Long.MAX_VALUE;

		private long answeredAtMs = Long.MAX_VALUE;

		private boolean isCancelled;

		private boolean hasOutput;

		private InFlightCall(long startedAtMs, int prefillTokens) {
			this.startedAtMs = startedAtMs;
			this.prefillTokens = prefillTokens;
		}

		int prefillTokens() {
			return this.prefillTokens;
		}

		void markAnswered(long nowMs) {
			this.answeredAtMs = Math.min(this.answeredAtMs, nowMs);
		}

		void markCancelled() {
			this.isCancelled = true;
		}

		private long remainingWindowMs(long nowMs, long windowMs) {
			if (this.answeredAtMs < Long.MAX_VALUE) {
				return this.answeredAtMs + windowMs - nowMs;
			}
			if (this.endedAtMs < Long.MAX_VALUE) {
				return this.endedAtMs + (this.isCancelled ? CANCELLED_CALL_MS : windowMs) - nowMs;
			}
			return windowMs;
		}

		void markOutputStarted() {
			this.hasOutput = true;
		}

	}

}
