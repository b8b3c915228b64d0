package dev.nutmegdoor.experiment.limits;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.fake.FakeFleet;
import dev.nutmegdoor.core.fake.FakeInstance;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.limit.Limit;
import dev.nutmegdoor.core.limit.WorkspaceLimitDump;

/**
 * Runs the product's mechanism on simulated instances.
 */
final class ShippedRun {

	private static final int INSTANCES = 9;

	private static final int ZONES = 3;

	/** Time in which the instances find each other before the first arrival. */
	private static final long WARM_UP_MS = 15_000;

	/** Longer than any admission takes. */
	private static final long COOL_DOWN_MS = 3000;

	/** Jitter of up to the delay between zones; one message in 2,000 is lost. */
	private static final LinkSettings LINKS = new LinkSettings(1, 2, 2, 0.0005, 0.0005);

	private static final StoreFaults STORE = new StoreFaults(2, 3, 0.01, 1000);

	private final LimitWorkload workload;

	private final LimitScenario scenario;

	private final FakeFleet fleet;

	private final RefusalCounter tally;

	private final ReferenceBuckets exact;

	private final ReferenceBuckets split;

	private final Map<WorkspaceId, ExactBucket> cutOff = new TreeMap<>();

	private long splitAdmitted;

	private long startMs;

	ShippedRun(LimitWorkload workload, LimitScenario scenario, long seed) {
		this.workload = workload;
		this.scenario = scenario;
		this.fleet = new FakeFleet(seed, ZONES);
		this.tally = new RefusalCounter(workload);
		this.exact = new ReferenceBuckets(workload);
		this.split = new ReferenceBuckets(workload);
	}

	LimitOutcome run() {
		this.fleet.network().setSettings(LINKS);
		this.fleet.store().setFaults(STORE);
		this.fleet.start(INSTANCES);
		this.fleet.advance(WARM_UP_MS);
		this.fleet.configure(this.workload.configuration());
		this.startMs = this.fleet.timer().nowMs();
		long messagesBefore = this.fleet.network().sentMessages();
		new ScenarioDriver(this.fleet, this::cut, this::heal).schedule(this.scenario);
		for (LimitWorkload.Arrival arrival : this.workload.arrivals()) {
			this.fleet.timer().schedule(arrival.atMs(), () -> arrive(arrival));
		}
		this.fleet.advance(LimitScenario.DURATION_MS);
		long messages = this.fleet.network().sentMessages() - messagesBefore;
		this.fleet.advance(COOL_DOWN_MS);
		long offeredWithin = this.tally.offeredWithinRate();
		return new LimitOutcome(this.workload.arrivals().size(), offeredWithin, this.tally.refusedWithinRate(),
				Math.max(0, offeredWithin - this.splitAdmitted), this.fleet.observer().violations().size(),
				messages * 1000.0 / LimitScenario.DURATION_MS, this.fleet.invariants().violated(Invariant.RATE_LIMIT));
	}

	private void arrive(LimitWorkload.Arrival arrival) {
		List<FakeInstance> running = this.fleet.running();
		FakeInstance instance = running.get(arrival.pickOf(running.size()));
		long atMs = this.fleet.timer().nowMs() - this.startMs;
		boolean isExactAdmitted = this.exact.take(arrival.workspace(), atMs);
		ExactBucket side = isCutOff(instance.host().availabilityZone()) ? this.cutOff.get(arrival.workspace()) : null;
		boolean isSplitAdmitted = (side != null) ? side.take(atMs) : this.split.take(arrival.workspace(), atMs);
		this.splitAdmitted += isSplitAdmitted ? 1 : 0;
		instance.limiter()
			.admit(arrival.workspace())
			.thenAccept(
					(admission) -> this.tally.decided(arrival.workspace(), isExactAdmitted, admission.isAdmitted()));
	}

	private boolean isCutOff(AvailabilityZone zone) {
		return !this.cutOff.isEmpty() && zone.equals(this.fleet.zones().get(ZONES - 1));
	}

	private void cut() {
		long atMs = this.fleet.timer().nowMs() - this.startMs;
		for (Workspace workspace : this.workload.workspaces()) {
			long units = 0;
			for (FakeInstance instance : this.fleet.running()) {
				boolean isInside = instance.host().availabilityZone().equals(this.fleet.zones().get(ZONES - 1));
				for (WorkspaceLimitDump dump : instance.limiter().dump().workspaces()) {
					units += (isInside && dump.workspace().equals(workspace.id())) ? dump.units() : 0;
				}
			}
			double fraction = (double) units / Limit.SHARE_UNITS;
			this.cutOff.put(workspace.id(), this.split.bucket(workspace.id()).split(fraction, atMs));
		}
	}

	private void heal() {
		long atMs = this.fleet.timer().nowMs() - this.startMs;
		this.cutOff.forEach((workspace, part) -> this.split.bucket(workspace).merge(part, atMs));
		this.cutOff.clear();
	}

}
