package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.fake.FakeFleet;
import dev.nutmegdoor.core.fake.FakeInstance;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Nine instances in three zones that limit the rate of one workspace.
 */
final class LimitFleet {

	static final WorkspaceId WORKSPACE = new WorkspaceId("w");

	private final FakeFleet fleet;

	private long admitted;

	private long rejected;

	LimitFleet(long seed, double ratePerSecond, int burst) {
		this.fleet = new FakeFleet(seed, 3);
		this.fleet.start(9);
		this.fleet.advance(15_000);
		this.fleet.configure(configuration(1, ratePerSecond, burst));
	}

	static Configuration configuration(long version, double ratePerSecond, int burst) {
		Workspace workspace = new Workspace(WORKSPACE, ratePerSecond, burst, 1, Map.of(), ProgramBudget.DEFAULT);
		return new Configuration(version, Map.of(WORKSPACE, workspace), Map.of(), Map.of(), Map.of(), Map.of());
	}

	FakeFleet fleet() {
		return this.fleet;
	}

	FakeInstance instance(int index) {
		return this.fleet.instances().get(index);
	}

	/**
	 * Sends one request and waits until it is decided.
	 * @param instance the instance that receives it
	 * @return the decision
	 */
	Admission request(FakeInstance instance) {
		List<CompletableFuture<Admission>> results = new ArrayList<>();
		instance.host().run(() -> results.add(instance.limiter().admit(WORKSPACE)));
		this.fleet.advance(1000);
		return results.get(0).join();
	}

	/**
	 * Sends requests to all running instances in turn, without waiting for decisions.
	 * @param count number of requests
	 * @param intervalMs time between two requests in milliseconds
	 */
	void sendRequests(int count, long intervalMs) {
		for (int i = 0; i < count; i++) {
			List<FakeInstance> running = this.fleet.running();
			FakeInstance instance = running.get(i % running.size());
			instance.host().run(() -> instance.limiter().admit(WORKSPACE).thenAccept((admission) -> {
				this.admitted += admission.isAdmitted() ? 1 : 0;
				this.rejected += admission.isAdmitted() ? 0 : 1;
			}));
			this.fleet.advance(intervalMs);
		}
	}

	long admitted() {
		return this.admitted;
	}

	long rejected() {
		return this.rejected;
	}

	/**
	 * Returns the units that each running instance holds.
	 * @return units by instance, without zeros
	 */
	Map<String, Long> units() {
		Map<String, Long> units = new TreeMap<>();
		for (FakeInstance instance : this.fleet.running()) {
			long heldUnits = unitsOf(instance);
			if (heldUnits > 0) {
				units.put(instance.id().value(), heldUnits);
			}
		}
		return units;
	}

	/**
	 * Returns the sum of all shares, after transfers in progress have ended: until its
	 * acknowledgement arrives, a transfer is on both sides.
	 * @return units of all running instances
	 */
	long totalUnits() {
		this.fleet.advance(2000);
		return units().values().stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * Returns the instance with the largest part of the share.
	 * @return the instance
	 */
	FakeInstance largestHolder() {
		FakeInstance largest = instance(0);
		for (FakeInstance instance : this.fleet.running()) {
			largest = (unitsOf(instance) > unitsOf(largest)) ? instance : largest;
		}
		return largest;
	}

	static long unitsOf(FakeInstance instance) {
		return instance.limiter()
			.dump()
			.workspaces()
			.stream()
			.filter((dump) -> dump.workspace().equals(WORKSPACE))
			.mapToLong((dump) -> dump.units() + dump.pendingUnits())
			.sum();
	}

}
