package dev.nutmegdoor.core.watch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Seeded simulation in which the store stops to answer a share of the instances, again
 * and again, while others freeze, end or have slow links. Reports each instance in touch
 * that lacks a change for longer than the bound.
 */
final class StoreOutageSimulation {

	/** Undisturbed time in milliseconds after which an instance is in touch. */
	private static final long CONTACT_MS = 4_000;

	private static final int SIZE = 36;

	private static final int STEPS = 60;

	/**
	 * Number of instances, three in each zone, that are the first to watch for others.
	 */
	private static final int FIRST_INSTANCES = 9;

	private final WatchedFleet fleet;

	private final long boundMs;

	private final Map<Integer, Long> disturbedUntilMs = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	StoreOutageSimulation(long seed, long boundMs) {
		this.fleet = new WatchedFleet(seed);
		this.boundMs = boundMs;
	}

	/** Returns a line for each instance in touch that was outdated. */
	List<String> run() {
		change();
		this.fleet.start(SIZE);
		this.fleet.advance(15_000);
		for (int i = 0; i < STEPS && this.violations.isEmpty(); i++) {
			if (this.fleet.random.nextDouble() < 0.4) {
				disturb();
			}
			else {
				change();
			}
			this.fleet.advance(this.fleet.random.nextInt(1_500));
		}
		this.fleet.instances.values().forEach((instance) -> this.violations.addAll(instance.faults()));
		return this.violations;
	}

	private void change() {
		check(WatchedFleet.CONFIGURATION, "main", this.fleet.put(WatchedFleet.CONFIGURATION, "main"));
		check(WatchedFleet.REPLICAS, "r-1", this.fleet.put(WatchedFleet.REPLICAS, "r-1"));
	}

	private void check(String kind, String name, String value) {
		this.fleet.timer.schedule(this.boundMs, () -> {
			for (WatchedInstance instance : this.fleet.running()) {
				String current = instance.value(kind, name);
				if (isInTouch(instance) && (current == null || Long.parseLong(current) < Long.parseLong(value))) {
					this.violations.add(this.fleet.timer.nowMs() + " " + instance + " has " + kind + " " + current
							+ " instead of " + value + ": " + instance.sharing().dump());
				}
			}
		});
	}

	private boolean isInTouch(WatchedInstance instance) {
		return this.disturbedUntilMs.getOrDefault(instance.number(), 0L) <= this.fleet.timer.nowMs() - CONTACT_MS;
	}

	private void disturb() {
		double share = this.fleet.random.nextDouble();
		boolean areOnlyWatchersHit = this.fleet.random.nextBoolean();
		int kind = this.fleet.random.nextInt(5);
		long durationMs = 3_000 + this.fleet.random.nextInt(7_000);
		for (int number = 0; number < (areOnlyWatchersHit ? FIRST_INSTANCES : SIZE); number++) {
			boolean isDisturbed = this.disturbedUntilMs.getOrDefault(number, 0L) >= this.fleet.timer.nowMs();
			if (!isDisturbed && (areOnlyWatchersHit || this.fleet.random.nextDouble() < share)) {
				this.disturbedUntilMs.put(number, this.fleet.timer.nowMs() + durationMs);
				disturb(kind, number, durationMs);
			}
		}
	}

	private void disturb(int kind, int number, long durationMs) {
		List<Integer> numbers = List.of(number);
		switch (kind) {
			case 0 -> {
				this.fleet.setUnanswered(numbers, true);
				this.fleet.timer.schedule(durationMs, () -> this.fleet.setUnanswered(numbers, false));
			}
			case 1 -> {
				this.fleet.setRejected(numbers, true);
				this.fleet.timer.schedule(durationMs, () -> this.fleet.setRejected(numbers, false));
			}
			case 2 -> {
				this.fleet.setAdditionalDelay(number, 1_000 + this.fleet.random.nextInt(3_000));
				this.fleet.timer.schedule(durationMs, () -> this.fleet.setAdditionalDelay(number, 0));
			}
			case 3 -> {
				WatchedInstance instance = this.fleet.instance(number);
				instance.host().pause();
				this.fleet.timer.schedule(durationMs, instance.host()::resume);
			}
			default -> {
				this.fleet.instance(number).host().crash();
				this.fleet.timer.schedule(durationMs, () -> this.fleet.restart(number));
			}
		}
	}

}
