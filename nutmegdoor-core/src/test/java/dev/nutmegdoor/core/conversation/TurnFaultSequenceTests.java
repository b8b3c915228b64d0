package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static dev.nutmegdoor.core.conversation.TurnReplicaFleet.turn;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Random sequences of stored turns and failures that the system has to tolerate. The seed
 * is the argument of the failing test.
 */
class TurnFaultSequenceTests {

	private static final int STEPS = 60;

	/** Time in which lost disks are copied, so that the next failures may follow. */
	private static final long REPAIR_MS = 8_000;

	private final Map<String, String> newestIds = new HashMap<>();

	private final Map<String, Integer> lengths = new HashMap<>();

	private final Map<String, Long> endsMs = new HashMap<>();

	// Guards against confirmed turns that are lost or denied by a combination of lost
	// disks, restarts, cut-off zones and frozen members.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void confirmedTurnsSurviveTwoFailuresAtATime(long seed) {
		TurnReplicaFleet fleet = new TurnReplicaFleet(seed);
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		for (int step = 0; step < STEPS; step++) {
			storeNext(fleet, "g" + random.nextInt(8));
			if (random.nextInt(4) == 0) {
				fail(fleet, random);
				fleet.timer.advance(REPAIR_MS);
			}
			check(fleet);
		}
		assertThat(fleet.invariants.violations(), is(empty()));
	}

	private void storeNext(TurnReplicaFleet fleet, String group) {
		String previousId = this.newestIds.get(group);
		if (previousId != null && fleet.timer.nowMs() - this.endsMs.get(group) >= TurnReplicaFleet.RETENTION_MS) {
			previousId = null;
		}
		int length = (previousId != null) ? this.lengths.get(group) + 1 : 1;
		String id = group + "-" + fleet.timer.nowMs();
		List<String> stored = fleet.store(turn(id, previousId, group), TurnReplicaFleet.chosen(group));
		if (stored.size() >= 3) {
			this.newestIds.put(group, id);
			this.lengths.put(group, length);
			this.endsMs.put(group, fleet.timer.nowMs());
		}
	}

	private static void fail(TurnReplicaFleet fleet, UniformRandomProvider random) {
		String first = TurnReplicaFleet.NAMES.get(random.nextInt(TurnReplicaFleet.NAMES.size()));
		String second = TurnReplicaFleet.NAMES.get(random.nextInt(TurnReplicaFleet.NAMES.size()));
		switch (random.nextInt(5)) {
			case 0 -> {
				fleet.restartWithEmptyDisk(first);
				fleet.restartWithEmptyDisk(second);
			}
			case 1 -> {
				fleet.restart(first);
				fleet.restartWithEmptyDisk(second);
			}
			case 2 -> {
				String zone = first.substring(0, 1);
				fleet.setCutOff(zone, true);
				fleet.timer.advance(6_000);
				fleet.setCutOff(zone, false);
			}
			case 3 -> {
				fleet.hosts.get(first).pause();
				fleet.timer.advance(2_000);
				fleet.hosts.get(first).resume();
			}
			default -> {
				TurnReplicaFleet.NAMES.forEach(fleet::crash);
				fleet.disks.remove(first);
				fleet.disks.remove(second);
				TurnReplicaFleet.NAMES.forEach((name) -> fleet.start(name, false));
			}
		}
	}

	private void check(TurnReplicaFleet fleet) {
		for (Map.Entry<String, String> entry : this.newestIds.entrySet()) {
			if (fleet.timer.nowMs() - this.endsMs.get(entry.getKey()) >= TurnReplicaFleet.RETENTION_MS) {
				continue;
			}
			String id = entry.getValue();
			List<String> holders = new ArrayList<>();
			for (String name : fleet.replicas.keySet()) {
				int turns = wholeChain(fleet, name, id);
				if (turns > 0) {
					assertThat(name + " has the chain of " + id, turns, is(this.lengths.get(entry.getKey())));
					holders.add(name);
				}
			}
			assertThat("copies of " + id + " on " + holders, holders.size(), greaterThanOrEqualTo(3));
		}
	}

	private static int wholeChain(TurnReplicaFleet fleet, String name, String id) {
		int length = 0;
		StoredTurn turn = fleet.disks.get(name).durable.get(TurnReplicaFleet.key(id));
		while (turn != null) {
			length++;
			String previousId = turn.previousId();
			turn = (previousId != null) ? fleet.disks.get(name).durable.get(TurnReplicaFleet.key(previousId)) : null;
		}
		return length;
	}

}
