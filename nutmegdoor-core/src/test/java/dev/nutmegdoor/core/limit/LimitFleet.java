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
 * Runs nine simulated instances in three zones that limit the rate of one workspace.
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
	 * Sends one request and advances virtual time by one second for its decision.
	 * @param instance instance that receives the request
	 * @return decision on the request
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
	 * @param intervalMs virtual time after each request in milliseconds
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
	 * Returns the units of each running instance, including unacknowledged transfers.
	 * @return units by instance identifier, without zeros
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
	 * Advances virtual time by two seconds, so that pending transfers complete, and
	 * returns the sum of all units. Until a transfer is acknowledged, both sides include
	 * its units.
	 * @return units of all running instances
	 */
	long totalUnits() {
		this.fleet.advance(2000);
		return units().values().stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * Returns the running instance with the most units of the share.
	 * @return the first instance of the fleet if no running one has more units
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
