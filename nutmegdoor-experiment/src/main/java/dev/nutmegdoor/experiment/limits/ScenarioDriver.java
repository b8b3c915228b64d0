package dev.nutmegdoor.experiment.limits;

import java.util.List;

import dev.nutmegdoor.core.fake.FakeFleet;
import dev.nutmegdoor.core.fake.FakeInstance;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Causes the faults of a scenario in a simulated fleet.
 */
final class ScenarioDriver {

	private final FakeFleet fleet;

	private final Runnable onCut;

	private final Runnable onHeal;

	ScenarioDriver(FakeFleet fleet, Runnable onCut, Runnable onHeal) {
		this.fleet = fleet;
		this.onCut = onCut;
		this.onHeal = onHeal;
	}

	/**
	 * Schedules the faults, counted from now.
	 * @param scenario the scenario
	 */
	void schedule(LimitScenario scenario) {
		VirtualTimerService timer = this.fleet.timer();
		List<FakeInstance> first = this.fleet.instances();
		switch (scenario) {
			case CALM, HEAVY_TENANT -> {
			}
			case PARTITION -> {
				AvailabilityZone zone = this.fleet.zones().get(this.fleet.zones().size() - 1);
				timer.schedule(LimitScenario.FAULT_START_MS, () -> {
					this.fleet.setCut(zone, true);
					this.onCut.run();
				});
				timer.schedule(LimitScenario.FAULT_END_MS, () -> {
					this.fleet.setCut(zone, false);
					this.onHeal.run();
				});
			}
			case OUTAGE -> {
				timer.schedule(LimitScenario.FAULT_START_MS, () -> this.fleet.store().setAvailable(false));
				timer.schedule(LimitScenario.FAULT_END_MS, () -> this.fleet.store().setAvailable(true));
			}
			case CRASH -> {
				crash(LimitScenario.FAULT_START_MS, first.get(0));
				crash(LimitScenario.FAULT_END_MS, first.get(4));
			}
			case ROLLING_REPLACEMENT -> {
				for (int i = 0; i < first.size(); i++) {
					FakeInstance old = first.get(i);
					long atMs = (i + 1) * LimitScenario.ROLLING_STEP_MS;
					timer.schedule(atMs, () -> this.fleet.start(old.host().availabilityZone(), false));
					timer.schedule(atMs + LimitScenario.ROLLING_STEP_MS / 2, () -> this.fleet.drain(old));
				}
			}
		}
	}

	private void crash(long atMs, FakeInstance instance) {
		VirtualTimerService timer = this.fleet.timer();
		timer.schedule(atMs, () -> this.fleet.crash(instance));
		timer.schedule(atMs + LimitScenario.REPLACE_AFTER_MS,
				() -> this.fleet.start(instance.host().availabilityZone(), false));
	}

}
