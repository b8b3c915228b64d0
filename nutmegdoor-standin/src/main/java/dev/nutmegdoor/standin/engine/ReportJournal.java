package dev.nutmegdoor.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;

import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Measurements of an engine's load, which become visible after a lag.
 */
final class ReportJournal {

	private final TimerService timer;

	private final int lagMs;

	private final Deque<Entry> entries = new ArrayDeque<>();

	ReportJournal(TimerService timer, int lagMs) {
		this.timer = timer;
		this.lagMs = lagMs;
	}

	void add(LoadReport report) {
		this.entries.addLast(new Entry(this.timer.nowMs(), report));
		dropSuperseded();
	}

	LoadReport newestVisible() {
		dropSuperseded();
		Entry entry = this.entries.getFirst();
		LoadReport report = entry.report;
		return new LoadReport(report.sequence(), this.timer.nowMs() - entry.measuredAtMs, report.runningCalls(),
				report.waitingCalls(), report.prefillTokens(), report.usedCacheTokens(), report.cacheCapacityTokens(),
				report.models());
	}

	private void dropSuperseded() {
		while (this.entries.size() > 1 && isSecondVisible()) {
			this.entries.removeFirst();
		}
	}

	private boolean isSecondVisible() {
		var iterator = this.entries.iterator();
		iterator.next();
		return iterator.next().measuredAtMs + this.lagMs <= this.timer.nowMs();
	}

	private record Entry(long measuredAtMs, LoadReport report) {

	}

}
