package dev.nutmegdoor.core.reachability;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.InstanceId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class DetourPeersTests {

	private static final InstanceId NEAR = new InstanceId("a-2");

	private static final InstanceId FAR = new InstanceId("b-1");

	private static final InstanceId FARTHER = new InstanceId("b-2");

	private static final List<InstanceId> INSTANCES = List.of(NEAR, FAR, FARTHER);

	private final DetourPeers peers = new DetourPeers(RandomSource.XO_SHI_RO_256_PP.create(1));

	private List<InstanceId> select(int maxInstances, long nowMs) {
		return this.peers.select(INSTANCES, (instance) -> instance.value().startsWith("a"), maxInstances, nowMs);
	}

	@Nested
	class Selection {

		// Guards against traffic between zones while an instance of the same zone works.
		@Test
		void beginsWithInstancesOfSameZone() {
			assertThat(select(3, 0), hasSize(3));
			assertThat(select(3, 0).get(0), is(NEAR));
		}

		// Guards against a search among partitioned instances for each request.
		@Test
		void beginsWithInstanceThatWorkedLast() {
			DetourPeersTests.this.peers.recordReached(FARTHER);
			assertThat(select(2, 0), contains(FARTHER, NEAR));
		}

		// Guards against requests that keep trying an instance that is partitioned as
		// well.
		@Test
		void avoidsUnavailableInstanceForSomeTime() {
			DetourPeersTests.this.peers.recordReached(NEAR);
			DetourPeersTests.this.peers.recordFailed(NEAR, true, 100);
			assertThat(select(3, 500), not(hasItem(NEAR)));
			assertThat(select(3, 1_100), hasItem(NEAR));
		}

		// Guards against an instance that is no longer tried because one replica is down.
		@Test
		void keepsInstanceThatDidNotReachOneReplica() {
			DetourPeersTests.this.peers.recordFailed(NEAR, false, 100);
			assertThat(select(3, 100), hasItem(NEAR));
		}

		// Guards against the instances of a large zone that is cut off as a whole, which
		// ask
		// only each other and never one of another zone.
		@Test
		void reachesOtherZoneWhenOwnOneReachesNoReplica() {
			List<InstanceId> instances = new ArrayList<>(List.of(FAR));
			for (int i = 2; i <= 30; i++) {
				instances.add(new InstanceId("a-" + i));
			}
			int requests = 0;
			List<InstanceId> selected = List.of();
			while (!selected.contains(FAR) && requests < 50) {
				long nowMs = 100 * requests++;
				selected = DetourPeersTests.this.peers.select(instances, (instance) -> instance.value().startsWith("a"),
						4, nowMs);
				selected.forEach((instance) -> DetourPeersTests.this.peers.recordFailed(instance, false, nowMs));
			}
			assertThat(selected, hasItem(FAR));
		}

		// Guards against the same in a zone whose instances know that they are isolated,
		// with few requests.
		@Test
		void reachesOtherZoneWhenOwnOneIsUnavailable() {
			List<InstanceId> instances = new ArrayList<>(List.of(FAR));
			for (int i = 2; i <= 30; i++) {
				instances.add(new InstanceId("a-" + i));
			}
			int requests = 0;
			List<InstanceId> selected = List.of();
			while (!selected.contains(FAR) && requests < 50) {
				long nowMs = 200 * requests++;
				selected = DetourPeersTests.this.peers.select(instances, (instance) -> instance.value().startsWith("a"),
						4, nowMs);
				selected.forEach((instance) -> DetourPeersTests.this.peers.recordFailed(instance, true, nowMs));
			}
			assertThat(selected, hasItem(FAR));
		}

		// Guards against a gateway that forgets the way to all replicas because one of
		// them is down.
		@Test
		void keepsInstanceThatWorkedLastWhenOneReplicaIsDown() {
			DetourPeersTests.this.peers.recordReached(FARTHER);
			DetourPeersTests.this.peers.recordFailed(FARTHER, false, 100);
			assertThat(select(3, 200).get(0), is(FARTHER));
		}

		// Guards against all partitioned instances using the same other one.
		@Test
		void spreadsFirstChoiceOverInstances() {
			Set<InstanceId> firstChoices = new HashSet<>();
			for (int seed = 0; seed < 20; seed++) {
				DetourPeers other = new DetourPeers(RandomSource.XO_SHI_RO_256_PP.create(seed));
				firstChoices.add(other.select(INSTANCES, (instance) -> false, 1, 0).get(0));
			}
			assertThat(firstChoices, hasSize(greaterThan(1)));
		}

	}

}
