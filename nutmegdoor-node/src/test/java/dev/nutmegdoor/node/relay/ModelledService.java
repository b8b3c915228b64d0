package dev.nutmegdoor.node.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleFunction;
import java.util.function.DoubleUnaryOperator;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Model of a replica of a service: a limited number of concurrent calls and a queue.
 */
final class ModelledService {

	static final int MAX_CONCURRENT_CALLS = 6;

	private final TimerService timer;

	private final DoubleUnaryOperator durationOf;

	private final DoubleFunction<@Nullable Integer> workPercentAt;

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private int running;

	/**
	 * Creates a replica without calls.
	 * @param timer source of time
	 * @param durationOf duration of work that starts now
	 * @param workPercentAt what the replica states about that at a time
	 */
	ModelledService(TimerService timer, DoubleUnaryOperator durationOf,
			DoubleFunction<@Nullable Integer> workPercentAt) {
		this.timer = timer;
		this.durationOf = durationOf;
		this.workPercentAt = workPercentAt;
	}

	RelayEnd.ReportedLoad load() {
		return new RelayEnd.ReportedLoad(this.running, this.waiting.size(), MAX_CONCURRENT_CALLS,
				this.workPercentAt.apply(this.timer.nowMs()));
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
		this.timer.schedule(Math.round(this.durationOf.applyAsDouble(workMs)), () -> {
			this.running--;
			onEnd.run();
			Runnable next = this.waiting.poll();
			if (next != null) {
				next.run();
			}
		});
	}

}
