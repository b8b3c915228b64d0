package dev.nutmegdoor.node.relay;

import java.util.ArrayDeque;
import java.util.Deque;

import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Model of a replica of a service: a limited number of concurrent calls and a queue.
 */
final class ModelledService {

	static final int MAX_CONCURRENT_CALLS = 6;

	private final TimerService timer;

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private int running;

	ModelledService(TimerService timer) {
		this.timer = timer;
	}

	RelayEnd.ReportedLoad load() {
		return new RelayEnd.ReportedLoad(this.running, this.waiting.size(), MAX_CONCURRENT_CALLS);
	}

	void submit(long workMs, Runnable onEnd) {
		if (this.running >= MAX_CONCURRENT_CALLS) {
			this.waiting.add(() -> run(workMs, onEnd));
			return;
		}
		run(workMs, onEnd);
	}

	private void run(long workMs, Runnable onEnd) {
		this.running++;
		this.timer.schedule(workMs, () -> {
			this.running--;
			onEnd.run();
			Runnable next = this.waiting.poll();
			if (next != null) {
				next.run();
			}
		});
	}

}
