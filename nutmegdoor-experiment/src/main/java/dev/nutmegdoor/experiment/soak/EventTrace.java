package dev.nutmegdoor.experiment.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * The last events of a run and a digest of all, which equal seeds reproduce.
 */
public final class EventTrace {

	private static final int KEPT = 400;

	private final VirtualTimerService timer;

	private final Deque<String> last = new ArrayDeque<>();

	private long digest;

	EventTrace(VirtualTimerService timer) {
		this.timer = timer;
	}

	EventLog logOf(String instance) {
		return (event, fields) -> {
			StringBuilder line = new StringBuilder(instance).append(' ').append(event);
			for (int i = 0; i + 1 < fields.length; i += 2) {
				line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
			}
			add(line.toString());
		};
	}

	void add(String text) {
		String line = this.timer.nowMs() + " " + text;
		this.digest = this.digest * 31 + line.hashCode();
		if (this.last.size() == KEPT) {
			this.last.removeFirst();
		}
		this.last.addLast(line);
	}

	/**
	 * Returns the last events, oldest first.
	 * @return a copy
	 */
	public List<String> last() {
		return new ArrayList<>(this.last);
	}

	/**
	 * Returns a digest of all events.
	 * @return equal for equal runs
	 */
	public long digest() {
		return this.digest;
	}

}
