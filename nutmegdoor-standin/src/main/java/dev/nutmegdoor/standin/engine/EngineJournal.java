package dev.nutmegdoor.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.placement.CacheEvent;
import dev.nutmegdoor.core.placement.CacheEventKind;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Cache events of an engine, which become visible late; some never do.
 */
final class EngineJournal {

	private static final int KEPT_EVENTS = 4_096;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final EngineSettings settings;

	private final Deque<Entry> entries = new ArrayDeque<>();

	private long sequence;

	EngineJournal(TimerService timer, UniformRandomProvider random, EngineSettings settings) {
		this.timer = timer;
		this.random = random;
		this.settings = settings;
	}

	void add(String owner, int tokens) {
		long number = ++this.sequence;
		if (this.random.nextDouble() < this.settings.eventLossRate()) {
			return;
		}
		CacheEventKind kind = (tokens > 0) ? CacheEventKind.STORED : CacheEventKind.EVICTED;
		if (this.entries.size() == KEPT_EVENTS) {
			this.entries.removeFirst();
		}
		this.entries.addLast(new Entry(this.timer.nowMs() + this.settings.eventLagMs(),
				new CacheEvent(number, kind, owner, tokens)));
	}

	List<CacheEvent> after(long afterSequence) {
		List<CacheEvent> visible = new ArrayList<>();
		for (var newest = this.entries.descendingIterator(); newest.hasNext();) {
			Entry entry = newest.next();
			if (entry.event.sequence() <= afterSequence) {
				break;
			}
			if (entry.visibleAtMs <= this.timer.nowMs()) {
				visible.add(0, entry.event);
			}
		}
		return visible;
	}

	private record Entry(long visibleAtMs, CacheEvent event) {

	}

}
