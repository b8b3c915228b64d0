package dev.nutmegdoor.experiment.limits;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import dev.nutmegdoor.core.fake.FakeFleet;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Measures what membership and leases cost an instance at several sizes of the fleet.
 */
public final class MembershipCostExperiment {

	private static final long WARM_UP_MS = 30_000;

	private static final long MEASURED_MS = 30_000;

	private final ObjectMapper mapper = new ObjectMapper();

	private long bytes;

	private MembershipCostExperiment() {
	}

	/**
	 * Runs the measurement at 9, 30, 90 and 390 instances.
	 * @return the cost at each size
	 */
	public static List<MembershipCost> run() {
		List<MembershipCost> costs = new ArrayList<>();
		for (int[] size : new int[][] { { 9, 3 }, { 30, 3 }, { 90, 3 }, { 90, 6 }, { 390, 6 } }) {
			costs.add(new MembershipCostExperiment().measure(size[0], size[1]));
		}
		return costs;
	}

	private MembershipCost measure(int instances, int zones) {
		FakeFleet fleet = new FakeFleet(1, zones);
		fleet.start(instances);
		fleet.advance(WARM_UP_MS);
		long messages = fleet.network().sentMessages();
		long calls = fleet.store().calls();
		fleet.network().setObserver(this::count);
		fleet.advance(MEASURED_MS);
		double seconds = MEASURED_MS / 1000.0;
		return new MembershipCost(instances, zones, (fleet.network().sentMessages() - messages) / seconds / instances,
				this.bytes / seconds / instances, (fleet.store().calls() - calls) / seconds);
	}

	private void count(PeerMessage message) {
		try {
			this.bytes += this.mapper.writeValueAsBytes(message).length;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("message is not writable: " + message, ex);
		}
	}

}
