package dev.nutmegdoor.experiment.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.fake.AdmissionObserver;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Runs a baseline on the arrivals and faults of a scenario. The baselines need no store,
 * and their messages take no time.
 */
final class BaselineRun {

	private static final int INSTANCES = 9;

	private static final int ZONES = 3;

	private final LimitMechanism mechanism;

	private final LimitWorkload workload;

	private final LimitScenario scenario;

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final AdmissionObserver observer = new AdmissionObserver(this.timer);

	private final List<Slot> slots = new ArrayList<>();

	private long messages;

	BaselineRun(LimitMechanism mechanism, LimitWorkload workload, LimitScenario scenario) {
		this.mechanism = mechanism;
		this.workload = workload;
		this.scenario = scenario;
		for (int i = 0; i < INSTANCES; i++) {
			this.slots.add(new Slot(i % ZONES));
		}
	}

	LimitOutcome run() {
		RefusalCounter tally = new RefusalCounter(this.workload);
		ReferenceBuckets exact = new ReferenceBuckets(this.workload);
		for (Workspace workspace : this.workload.workspaces()) {
			this.observer.setLimit(workspace.id(), workspace.ratePerSecond(), workspace.burst());
		}
		this.slots.forEach((slot) -> slot.restart(0, this.mechanism == LimitMechanism.STATIC_SPLIT));
		scheduleFaults();
		for (LimitWorkload.Arrival arrival : this.workload.arrivals()) {
			this.timer.schedule(arrival.atMs(), () -> {
				List<Slot> running = new ArrayList<>(this.slots);
				running.removeIf((slot) -> slot.down);
				boolean isAdmitted = admit(running.get(arrival.pickOf(running.size())), arrival.workspace());
				if (isAdmitted) {
					this.observer.admitted(arrival.workspace());
				}
				tally.decided(arrival.workspace(), exact.take(arrival.workspace(), arrival.atMs()), isAdmitted);
			});
		}
		this.timer.advance(LimitScenario.DURATION_MS);
		return new LimitOutcome(this.workload.arrivals().size(), tally.offeredWithinRate(), tally.refusedWithinRate(),
				0, this.observer.violations().size(), this.messages * 1000.0 / LimitScenario.DURATION_MS, 0);
	}

	private boolean admit(Slot slot, WorkspaceId workspace) {
		long nowMs = this.timer.nowMs();
		if (this.mechanism == LimitMechanism.STATIC_SPLIT) {
			return slot.take(workspace, nowMs);
		}
		Slot center = this.slots.get(0);
		boolean isCut = this.scenario == LimitScenario.PARTITION && this.scenario.isFaulty(nowMs)
				&& slot.zone == ZONES - 1;
		if (slot != center) {
			this.messages += (center.down || isCut) ? 1 : 2;
		}
		return !center.down && !isCut && center.take(workspace, nowMs);
	}

	private void scheduleFaults() {
		switch (this.scenario) {
			case CALM, HEAVY_TENANT, PARTITION, OUTAGE -> {
			}
			case CRASH -> {
				replace(this.slots.get(0), LimitScenario.FAULT_START_MS, LimitScenario.REPLACE_AFTER_MS);
				replace(this.slots.get(4), LimitScenario.FAULT_END_MS, LimitScenario.REPLACE_AFTER_MS);
			}
			case ROLLING_REPLACEMENT -> {
				for (int i = 0; i < this.slots.size(); i++) {
					replace(this.slots.get(i), (i + 1) * LimitScenario.ROLLING_STEP_MS, 0);
				}
			}
		}
	}

	private void replace(Slot slot, long atMs, long downMs) {
		this.timer.schedule(atMs, () -> slot.down = true);
		this.timer.schedule(atMs + downMs,
				() -> slot.restart(this.timer.nowMs(), this.mechanism == LimitMechanism.STATIC_SPLIT));
	}

	/**
	 * One instance; its buckets start full after a restart.
	 */
	private final class Slot {

		private final Map<WorkspaceId, ExactBucket> buckets = new TreeMap<>();

		private final int zone;

		private boolean down;

		private Slot(int zone) {
			this.zone = zone;
		}

		private void restart(long nowMs, boolean isSplit) {
			this.down = false;
			int parts = isSplit ? INSTANCES : 1;
			for (Workspace workspace : BaselineRun.this.workload.workspaces()) {
				double capacity = Math.max(1, (double) workspace.burst() / parts);
				this.buckets.put(workspace.id(),
						new ExactBucket(workspace.ratePerSecond() / parts, capacity, capacity, nowMs));
			}
		}

		private boolean take(WorkspaceId workspace, long nowMs) {
			ExactBucket bucket = this.buckets.get(workspace);
			return bucket != null && bucket.take(nowMs);
		}

	}

}
