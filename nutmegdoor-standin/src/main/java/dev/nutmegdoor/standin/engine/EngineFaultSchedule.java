package dev.nutmegdoor.standin.engine;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Puts faults in force on engines at random times, for random spans, from a seeded
 * generator.
 */
public final class EngineFaultSchedule {

	private static final int MIN_SPAN_MS = 2_000;

	private static final int MAX_SPAN_MS = 20_000;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final List<EngineModel> engines;

	/**
	 * Creates the schedule.
	 * @param timer source of time
	 * @param random seeded generator
	 * @param engines engines that fail
	 */
	public EngineFaultSchedule(TimerService timer, UniformRandomProvider random, List<EngineModel> engines) {
		this.timer = timer;
		this.random = random;
		this.engines = List.copyOf(engines);
	}

	/**
	 * Starts the faults.
	 * @param meanGapMs average time between two faults in milliseconds, at least 1
	 * @return handle that ends the schedule; faults in force end by themselves
	 */
	public Subscription start(int meanGapMs) {
		return this.timer.subscribe(meanGapMs, this::injectRandomFault);
	}

	private void injectRandomFault() {
		EngineModel engine = this.engines.get(this.random.nextInt(this.engines.size()));
		EngineFaults faults = switch (this.random.nextInt(4)) {
			case 0 -> new EngineFaults(2 + this.random.nextDouble() * 6, 0, 0, false);
			case 1 -> new EngineFaults(1, 0.5, 0, false);
			case 2 -> new EngineFaults(1, 0, 0.3, false);
			default -> new EngineFaults(1, 0, 0, true);
		};
		engine.setFaults(faults);
		this.timer.schedule(this.random.nextInt(MIN_SPAN_MS, MAX_SPAN_MS), () -> engine.setFaults(EngineFaults.NONE));
	}

}
