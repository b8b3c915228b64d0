package dev.nutmegdoor.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

import dev.nutmegdoor.core.configuration.Upstream;

/**
 * Own calls of one replica and what reports and peers say of the others' calls.
 */
final class ReplicaState {

	/** Ended calls older than any report in use are dropped. */
	private static final long KEEP_ENDED_MS = 5_000;

	private static final long HALF_LIFE_MS = 1_000;

	private static final int MAX_HALVINGS = 31;

	/** Assumed until a replica reports its cache; far above any real one. */
	private static final long UNKNOWN_FREE_TOKENS = Long.MAX_VALUE / 4;

	private final List<InFlightCall> own = new ArrayList<>();

	private final Deque<InFlightCall> ended = new ArrayDeque<>();

	private Upstream upstream;

	private int others;

	private long othersAtMs = Long.MIN_VALUE / 2;

	private int ownAtReport;

	private int freeAtReport;

	private long reportSequence = -1;

	private long reportedBacklogTokens;

	private long reportedFreeCacheTokens;

	private long reportedAtMs = Long.MIN_VALUE / 2;

	ReplicaState(Upstream upstream) {
		this.upstream = upstream;
		this.reportedFreeCacheTokens = UNKNOWN_FREE_TOKENS;
		this.freeAtReport = upstream.maxConcurrentCalls();
	}

	Upstream upstream() {
		return this.upstream;
	}

	void setUpstream(Upstream upstream) {
		this.upstream = upstream;
	}

	InFlightCall start(long nowMs, int prefillTokens) {
		InFlightCall call = new InFlightCall(nowMs, prefillTokens);
		this.own.add(call);
		return call;
	}

	void end(InFlightCall call, long nowMs) {
		if (this.own.remove(call)) {
			call.endedAtMs = nowMs;
			this.ended.addLast(call);
		}
		while (!this.ended.isEmpty() && this.ended.getFirst().endedAtMs < nowMs - KEEP_ENDED_MS) {
			this.ended.removeFirst();
		}
	}

	int ownInFlight() {
		return this.own.size();
	}

	// Applies a load report: what it counts beyond the own calls of that time belongs to
	// others.
	void report(LoadReport report, long nowMs) {
		if (report.sequence() <= this.reportSequence) {
			return;
		}
		long measuredAtMs = nowMs - report.ageMs();
		this.reportSequence = report.sequence();
		this.reportedAtMs = measuredAtMs;
		this.reportedBacklogTokens = report.prefillTokens();
		this.reportedFreeCacheTokens = report.cacheCapacityTokens() - report.usedCacheTokens();
		int ownThen = 0;
		for (InFlightCall call : this.own) {
			ownThen += (call.startedAtMs < measuredAtMs) ? 1 : 0;
		}
		for (InFlightCall call : this.ended) {
			ownThen += (call.startedAtMs < measuredAtMs && call.endedAtMs >= measuredAtMs) ? 1 : 0;
		}
		this.ownAtReport = ownThen;
		this.freeAtReport = this.upstream.maxConcurrentCalls() - report.runningCalls() - report.waitingCalls();
		setOthers(Math.max(0, report.runningCalls() + report.waitingCalls() - ownThen), measuredAtMs);
	}

	// The counts of a replica start anew with it, and the calls of others ended with the
	// process before.
	void restarted(long nowMs) {
		this.reportSequence = -1;
		this.reportedAtMs = nowMs;
		this.reportedBacklogTokens = 0;
		this.reportedFreeCacheTokens = UNKNOWN_FREE_TOKENS;
		this.ownAtReport = 0;
		this.freeAtReport = this.upstream.maxConcurrentCalls();
		setOthers(0, nowMs);
	}

	// Applies the sum of the peers' in-flight counts.
	void setOthers(int calls, long atMs) {
		if (atMs >= this.othersAtMs) {
			this.others = calls;
			this.othersAtMs = atMs;
		}
	}

	// A count that no report has confirmed for long says little: half of it is forgotten
	// in each second.
	int others(long nowMs) {
		return this.others >> Math.min(MAX_HALVINGS, othersAgeMs(nowMs) / HALF_LIFE_MS);
	}

	long othersAgeMs(long nowMs) {
		return Math.min(Integer.MAX_VALUE, nowMs - this.othersAtMs);
	}

	// Returns the tokens that wait for prefill: the reported ones, less what the replica
	// has done since, and those of calls sent after the report.
	long backlogTokens(long nowMs, double prefillPerTokenMs) {
		double doneSince = (nowMs - this.reportedAtMs) * 0.5 / prefillPerTokenMs;
		long backlog = Math.max(0, this.reportedBacklogTokens - (long) doneSince);
		for (Iterator<InFlightCall> iterator = this.own.iterator(); iterator.hasNext();) {
			InFlightCall call = iterator.next();
			backlog += (call.startedAtMs >= this.reportedAtMs && !call.hasOutput) ? call.prefillTokens : 0;
		}
		return backlog;
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

		private boolean hasOutput;

		private InFlightCall(long startedAtMs, int prefillTokens) {
			this.startedAtMs = startedAtMs;
			this.prefillTokens = prefillTokens;
		}

		void outputSeen() {
			this.hasOutput = true;
		}

	}

}
