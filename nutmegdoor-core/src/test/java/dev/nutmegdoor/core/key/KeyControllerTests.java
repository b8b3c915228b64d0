package dev.nutmegdoor.core.key;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationSection;
import dev.nutmegdoor.core.distribution.ClusterNode;
import dev.nutmegdoor.core.distribution.TestCluster;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

class KeyControllerTests {

	/** Maximum time until all reachable instances reject a withdrawn key. */
	private static final long MAX_PROPAGATION_MS = 3_000;

	private static final WorkspaceId ACME = new WorkspaceId("acme");

	private TestCluster cluster = new TestCluster(1, 1, 1);

	private IssuedKey key = startAndIssue(1, 3, 3);

	private IssuedKey startAndIssue(long seed, int zones, int nodesPerZone) {
		this.cluster = new TestCluster(seed, zones, nodesPerZone);
		this.cluster.start();
		ClusterNode node = this.cluster.node(0);
		this.cluster
			.await(node.configuration.change(new ConfigurationChange("ann", "test", null, List.of(ConfigurationEdit
				.merge(ConfigurationSection.WORKSPACES, "acme", Map.of("ratePerSecond", 5, "burst", 3))))));
		this.key = this.cluster.await(node.keys.issue(ACME, "ann"));
		this.cluster.timer.advance(MAX_PROPAGATION_MS);
		return this.key;
	}

	private RefusalReason refusalAt(ClusterNode node) {
		return node.keys.authenticate(this.key.key()).refusal();
	}

	private CompletableFuture<WithdrawalResult> withdrawAt(int node) {
		return this.cluster.node(node).keys.withdraw(this.key.id(), "bob", "leaked");
	}

	private void assertWithdrawnOnAllInstances() {
		for (ClusterNode node : this.cluster.nodes.values()) {
			if (!node.host.isCrashed()) {
				assertThat(node.host.id().value(), refusalAt(node), is(RefusalReason.KEY_WITHDRAWN));
				assertThat(node.invariants.violated(Invariant.KEY_WITHDRAWAL), is(0L));
			}
		}
	}

	@Nested
	class KeyAuthentication {

		// Guards against a key that is accepted for another workspace, or with an invalid
		// secret.
		@Test
		void acceptsOnlyCompleteKey() {
			ClusterNode node = KeyControllerTests.this.cluster.node(5);
			String text = KeyControllerTests.this.key.key();
			assertThat(node.keys.authenticate(text).workspace(), is(ACME));
			for (String invalidKey : List.of("", "nd_", "nd__x", text + "0", text.substring(0, text.length() - 1),
					"nd_unknown_" + text.substring(20), "nd_" + "x".repeat(100_000) + "_1")) {
				assertThat(node.keys.authenticate(invalidKey).refusal(), is(RefusalReason.UNAUTHENTICATED));
			}
		}

		// Guards against a secret that leaks into a log line or a dump.
		@Test
		void omitsSecretFromTexts() {
			String secret = KeyControllerTests.this.key.key().substring(20);
			ClusterNode node = KeyControllerTests.this.cluster.node(0);
			assertThat(KeyControllerTests.this.key.toString(), not(containsString(secret)));
			assertThat(node.keys.list(ACME).toString() + node.keys.dump() + node.configuration.dump(),
					not(containsString(secret)));
		}

		// Guards against an isolated instance that accepts withdrawn keys indefinitely,
		// and against one that rejects its callers as soon as it is isolated.
		@Test
		void rejectsKeyAfterLongIsolation() {
			ClusterNode isolatedNode = KeyControllerTests.this.cluster.node(2);
			TestCluster cluster = KeyControllerTests.this.cluster;
			cluster.setCut(isolatedNode.host.availabilityZone(), true);
			cluster.nodes.values()
				.stream()
				.filter((node) -> node != isolatedNode)
				.forEach((node) -> cluster.network.setCut(node.host.id(), isolatedNode.host.id(), true));
			cluster.timer.advance(KeySettings.DEFAULT.isolatedKeyAcceptMs() - 10_000);
			assertThat(refusalAt(isolatedNode), is(nullValue()));
			cluster.timer.advance(20_000);
			assertThat(refusalAt(isolatedNode), is(RefusalReason.KEY_STATE_UNKNOWN));
			cluster.store.setCut(isolatedNode.host.availabilityZone(), false);
			cluster.timer.advance(MAX_PROPAGATION_MS);
			assertThat(refusalAt(isolatedNode), is(nullValue()));
		}

	}

	@Nested
	class KeyWithdrawals {

		// Guards against an instance of a large fleet that still accepts a withdrawn key
		// because the store is unavailable and messages are lost, duplicated
		// or reordered.
		@Test
		void takesEffectOnAllInstancesOfLargeFleetDuringStoreOutage() {
			startAndIssue(2, 6, 65);
			KeyControllerTests.this.cluster.store.setAvailable(false);
			KeyControllerTests.this.cluster.network.setSettings(new LinkSettings(1, 5, 20, 0.05, 0.05));
			CompletableFuture<WithdrawalResult> result = withdrawAt(17);
			KeyControllerTests.this.cluster.timer.advance(MAX_PROPAGATION_MS);
			assertWithdrawnOnAllInstances();
			assertThat(result.join().isDurable(), is(true));
			assertThat(result.join().isStored(), is(false));
		}

		// Guards against a stream that continues after its key was withdrawn.
		@Test
		void endsRunningStreams() {
			List<String> ended = new ArrayList<>();
			ClusterNode node = KeyControllerTests.this.cluster.node(7);
			node.keys.openStream(KeyControllerTests.this.key.id(), () -> ended.add("7"));
			withdrawAt(0);
			KeyControllerTests.this.cluster.timer.advance(MAX_PROPAGATION_MS);
			assertThat(ended, contains("7"));
			KeyControllerTests.this.cluster.timer.advance(MAX_PROPAGATION_MS);
			assertThat("a stream that keeps running is a violation", node.invariants.violated(Invariant.KEY_WITHDRAWAL),
					is(1L));
			node.keys.openStream(KeyControllerTests.this.key.id(), () -> ended.add("late"));
			assertThat(ended, contains("7", "late"));
		}

		// Guards against an operator who assumes that a key is withdrawn in a zone that
		// was unreachable, and against a zone that still accepts the key after a network
		// partition heals.
		@Test
		void reportsUnreachableZones() {
			TestCluster cluster = KeyControllerTests.this.cluster;
			cluster.setCut(TestCluster.zone(2), true);
			long startMs = cluster.timer.nowMs();
			WithdrawalResult result = cluster.await(withdrawAt(0));
			assertThat(cluster.timer.nowMs() - startMs, lessThanOrEqualTo(MAX_PROPAGATION_MS));
			assertThat(result.unreachableZones(), contains(TestCluster.zone(2)));
			assertThat(result.confirmedZones(), contains(TestCluster.zone(0), TestCluster.zone(1)));
			cluster.setCut(TestCluster.zone(2), false);
			cluster.timer.advance(MAX_PROPAGATION_MS);
			assertWithdrawnOnAllInstances();
		}

		// Guards against a withdrawal that is lost because the instance that accepted it,
		// or one that forwards it, crashes.
		@Test
		void survivesCrashAfterConfirmation() {
			for (long seed = 10; seed < 15; seed++) {
				startAndIssue(seed, 3, 3);
				TestCluster cluster = KeyControllerTests.this.cluster;
				cluster.store.setAvailable(false);
				cluster.network.setSettings(new LinkSettings(1, 5, 20, 0.3, 0));
				cluster.node((int) seed % 8 + 1).crashAt = Step.KEY_WITHDRAW_APPLY;
				assertThat(cluster.await(withdrawAt(0)).isDurable(), is(true));
				cluster.node(0).host.crash();
				cluster.timer.advance(MAX_PROPAGATION_MS);
				assertWithdrawnOnAllInstances();
				cluster.store.setAvailable(true);
				cluster.store.setFaults(new StoreFaults(1, 5, 0.3, Integer.MAX_VALUE));
				cluster.timer.advance(30_000);
				cluster.nodes.values().forEach((node) -> node.host.crash());
				ClusterNode replacement = cluster.add("successor", TestCluster.zone(0), new HashMap<>());
				replacement.start();
				cluster.timer.advance(MAX_PROPAGATION_MS);
				assertThat("seed " + seed, refusalAt(replacement), is(RefusalReason.KEY_WITHDRAWN));
			}
		}

		// Guards against a partially accepted withdrawal: one that some instances apply
		// although the instance that received it crashed before it could confirm it.
		@Test
		void isNotAcceptedByInstanceThatCrashesBeforeApplying() {
			KeyControllerTests.this.cluster.node(0).crashAt = Step.KEY_WITHDRAW_APPLY;
			KeyControllerTests.this.cluster.timer.schedule(0,
					() -> KeyControllerTests.this.cluster.node(0).host.run(() -> withdrawAt(0)));
			KeyControllerTests.this.cluster.timer.advance(MAX_PROPAGATION_MS);
			assertThat(KeyControllerTests.this.cluster.node(0).host.isCrashed(), is(true));
			assertThat(refusalAt(KeyControllerTests.this.cluster.node(1)), is(nullValue()));
			KeyControllerTests.this.cluster.await(withdrawAt(1));
			assertWithdrawnOnAllInstances();
		}

		// Guards against an instance that starts during a store outage and accepts keys
		// that were withdrawn before.
		@Test
		void reachesInstanceThatStartsDuringStoreOutage() {
			TestCluster cluster = KeyControllerTests.this.cluster;
			cluster.await(withdrawAt(0));
			cluster.store.setAvailable(false);
			ClusterNode newInstance = cluster.add("late", TestCluster.zone(1), new HashMap<>());
			newInstance.start();
			cluster.timer.advance(2_000);
			assertThat(refusalAt(newInstance), is(RefusalReason.KEY_WITHDRAWN));
		}

	}

}
