package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.hamcrest.Matcher;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

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
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

class ConfigurationControllerTests {

	/** Maximum time from the commit of a change to its application on all instances. */
	private static final long MAX_PROPAGATION_MS = 3_000;

	private static TestCluster cluster(long seed, int zones, int nodesPerZone) {
		TestCluster cluster = new TestCluster(seed, zones, nodesPerZone);
		cluster.start();
		return cluster;
	}

	private static ConfigurationChange workspace(String id, double rate, Long expectedVersion) {
		return new ConfigurationChange("ann", "test", expectedVersion, List.of(ConfigurationEdit
			.merge(ConfigurationSection.WORKSPACES, id, Map.of("ratePerSecond", rate, "burst", 3))));
	}

	private static ConfigurationChangeResult change(TestCluster cluster, int node, ConfigurationChange change) {
		return cluster.await(cluster.node(node).configuration.change(change));
	}

	private static void assertVersionOnAllInstances(TestCluster cluster, long version, Matcher<Boolean> isActive) {
		for (ClusterNode node : cluster.nodes.values()) {
			if (!node.host.isCrashed()) {
				assertThat(node.host.id() + " in " + node.host.availabilityZone(),
						node.configuration.version() == version, isActive);
				assertThat(node.invariants.violations().toString(),
						node.invariants.violated(Invariant.CONFIGURATION_MONOTONIC), is(0L));
			}
		}
	}

	@Nested
	class Distribution {

		// Guards against a change that part of a large fleet applies too late because
		// messages are lost, duplicated or reordered.
		@Test
		void appliesChangeOnAllInstancesOfLargeFleet() {
			for (long seed = 1; seed <= 3; seed++) {
				TestCluster cluster = cluster(seed, 6, 65);
				cluster.network.setSettings(new LinkSettings(1, 5, 20, 0.05, 0.05));
				assertThat(change(cluster, 7, workspace("acme", 5, null)).outcome(),
						is(ConfigurationChangeOutcome.ACCEPTED));
				cluster.timer.advance(MAX_PROPAGATION_MS);
				assertVersionOnAllInstances(cluster, 1, is(true));
			}
		}

		// Guards against instances that miss a change because its committer crashes
		// before it announces the new version.
		@Test
		void appliesChangeWhenCommitterCrashesAfterCommit() {
			TestCluster cluster = cluster(4, 3, 3);
			cluster.node(0).crashAt = Step.CONFIGURATION_APPLY;
			cluster.node(0).configuration.change(workspace("acme", 5, null));
			cluster.timer.advance(MAX_PROPAGATION_MS);
			assertThat(cluster.node(0).host.isCrashed(), is(true));
			assertVersionOnAllInstances(cluster, 1, is(true));
		}

		// Guards against a zone that keeps or reverts to an outdated version after a
		// network partition heals.
		@Test
		void updatesZoneWhenPartitionHeals() {
			TestCluster cluster = cluster(5, 3, 3);
			change(cluster, 0, workspace("acme", 5, null));
			cluster.timer.advance(MAX_PROPAGATION_MS);
			cluster.setCut(TestCluster.zone(2), true);
			change(cluster, 0, workspace("acme", 6, null));
			cluster.timer.advance(20_000);
			assertThat(cluster.node(2).configuration.version(), is(1L));
			cluster.setCut(TestCluster.zone(2), false);
			cluster.timer.advance(MAX_PROPAGATION_MS);
			assertVersionOnAllInstances(cluster, 2, is(true));
		}

		// Guards against an instance that cannot fetch a large configuration because the
		// reply of the peer exceeds the maximum frame size.
		@Test
		void fetchesLargeConfigurationInPages() {
			TestCluster cluster = cluster(6, 1, 1);
			List<ConfigurationEdit> edits = new ArrayList<>();
			for (int i = 0; i < 30_000; i++) {
				edits.add(ConfigurationEdit.merge(ConfigurationSection.WORKSPACES, "workspace-" + i,
						Map.of("ratePerSecond", 5.5, "burst", 3, "budget", Map.of("maxTokens", 100_000))));
			}
			change(cluster, 0, new ConfigurationChange("ann", "test", null, edits));
			cluster.store.setAvailable(false);
			ClusterNode newInstance = cluster.add("late", TestCluster.zone(0), new HashMap<>());
			newInstance.configuration.start();
			cluster.timer.advance(5_000);
			assertThat(newInstance.configuration.current().workspaces().size(), is(30_000));
			ConfigurationPage page = cluster.await(newInstance.transport.request(cluster.node(0).host.id(),
					new ConfigurationFetch(0, List.of(), false), ConfigurationPage.class, 500));
			int chars = page.shards().stream().mapToInt((shard) -> shard.text().length()).sum();
			assertThat(chars, lessThan(1_300_000));
			assertThat(page.isComplete(), is(false));
		}

	}

	@Nested
	class Commits {

		// Guards against two concurrent operators of whom one overwrites the change of
		// the other without noticing it.
		@Test
		void returnsConflictingChangesToLosingOperator() {
			TestCluster cluster = cluster(7, 3, 3);
			change(cluster, 0, workspace("acme", 5, null));
			cluster.timer.advance(MAX_PROPAGATION_MS);
			CompletableFuture<ConfigurationChangeResult> firstResult = cluster.node(1).configuration
				.change(workspace("acme", 6, 1L));
			CompletableFuture<ConfigurationChangeResult> secondResult = cluster.node(2).configuration
				.change(workspace("acme", 7, 1L));
			ConfigurationChangeResult accepted = cluster.await(firstResult);
			ConfigurationChangeResult lost = cluster.await(secondResult);
			assertThat(accepted.outcome(), is(ConfigurationChangeOutcome.ACCEPTED));
			assertThat(lost.outcome(), is(ConfigurationChangeOutcome.LOST));
			assertThat(lost.differences(), contains(new ConfigurationDifference("workspaces/acme",
					"{\"burst\":3,\"ratePerSecond\":5.0}", "{\"burst\":3,\"ratePerSecond\":6.0}")));
		}

		// Guards against a needless rejection of concurrent changes of different items,
		// and against a silent overwrite of the same item, if no version is expected.
		@Test
		void losesOnlyToChangeOfSameItemWithoutExpectedVersion() {
			TestCluster cluster = cluster(8, 3, 3);
			CompletableFuture<ConfigurationChangeResult> firstResult = cluster.node(1).configuration
				.change(workspace("acme", 6, null));
			CompletableFuture<ConfigurationChangeResult> sameItemResult = cluster.node(2).configuration
				.change(workspace("acme", 7, null));
			CompletableFuture<ConfigurationChangeResult> otherItemResult = cluster.node(0).configuration
				.change(workspace("bit", 8, null));
			assertThat(cluster.await(firstResult).outcome(), is(ConfigurationChangeOutcome.ACCEPTED));
			assertThat(cluster.await(otherItemResult).outcome(), is(ConfigurationChangeOutcome.ACCEPTED));
			assertThat(cluster.await(sameItemResult).outcome(), is(ConfigurationChangeOutcome.LOST));
		}

		// Guards against a change that is reported as lost, or committed twice, because
		// the response to the write of the head was lost.
		@Test
		void recognizesOwnCommitWhenResponsesAreLost() {
			for (long seed = 10; seed < 40; seed++) {
				TestCluster cluster = cluster(seed, 3, 2);
				cluster.store.setFaults(new StoreFaults(1, 20, 0.5, Integer.MAX_VALUE));
				List<CompletableFuture<ConfigurationChangeResult>> results = new ArrayList<>();
				for (int i = 0; i < 6; i++) {
					results.add(cluster.node(i).configuration.change(workspace("w" + i, 5, null)));
				}
				results.forEach(cluster::await);
				cluster.store.setFaults(StoreFaults.NONE);
				cluster.timer.advance(2 * MAX_PROPAGATION_MS);
				Configuration configuration = cluster.node(0).configuration.current();
				long accepted = 0;
				for (int i = 0; i < 6; i++) {
					boolean isAccepted = results.get(i).join().outcome().isSuccessful();
					boolean isUnknown = results.get(i).join().outcome() == ConfigurationChangeOutcome.UNKNOWN;
					boolean isPresent = configuration.workspaces().containsKey(new WorkspaceId("w" + i));
					assertThat("seed " + seed + " change " + i + ": " + results.get(i).join(),
							isPresent == isAccepted || isUnknown, is(true));
					accepted += isPresent ? 1 : 0;
				}
				assertThat("seed " + seed, configuration.version(), is(accepted));
				assertVersionOnAllInstances(cluster, accepted, is(true));
			}
		}

		// Guards against a partially applied change after a crash of its committer.
		@Test
		void keepsPreviousVersionWhenCommitterCrashesBeforeHeadIsWritten() {
			TestCluster cluster = cluster(41, 3, 3);
			cluster.node(0).crashAt = Step.CONFIGURATION_COMMIT;
			cluster.node(0).configuration.change(workspace("acme", 5, null));
			cluster.timer.advance(10_000);
			assertThat(cluster.node(0).host.isCrashed(), is(true));
			assertVersionOnAllInstances(cluster, 0, is(true));
			assertThat(change(cluster, 1, workspace("acme", 5, null)).outcome(),
					is(ConfigurationChangeOutcome.ACCEPTED));
		}

		// Guards against a result that contains only the first of several invalid values.
		@Test
		void reportsAllErrorsAndChangesNothing() {
			TestCluster cluster = cluster(42, 1, 1);
			ConfigurationChangeResult result = change(cluster, 0,
					new ConfigurationChange(
							"ann", "test", null, List.of(
									ConfigurationEdit.merge(ConfigurationSection.WORKSPACES, "acme",
											Map.of("ratePerSecond", -1, "burst", "many", "workPriorities",
													Map.of("quote", 1))),
									ConfigurationEdit.merge(ConfigurationSection.KEYS, "k1",
											Map.of("workspace", "ghost", "secretHash", "0".repeat(64))),
									ConfigurationEdit.merge(ConfigurationSection.UPSTREAMS, "bad id", Map.of()))));
			assertThat(result.outcome(), is(ConfigurationChangeOutcome.INVALID));
			assertThat(result.errors().toString(),
					result.errors()
						.stream()
						.map(ConfigurationError::path)
						.toList()
						.containsAll(List.of("workspaces/acme/ratePerSecond", "workspaces/acme/burst",
								"keys/k1/workspace", "upstreams/bad id")),
					is(true));
			assertThat(cluster.node(0).configuration.version(), is(0L));
		}

		// Guards against a change that is reported as accepted although a store outage
		// prevented it.
		@Test
		void returnsUnavailableDuringStoreOutage() {
			TestCluster cluster = cluster(43, 3, 3);
			cluster.store.setAvailable(false);
			assertThat(change(cluster, 0, workspace("acme", 5, null)).outcome(),
					is(ConfigurationChangeOutcome.UNAVAILABLE));
		}

		// Guards against a result that says that nothing was changed although the change
		// was committed directly before a store outage.
		@Test
		void returnsUnknownWhenStoreOutageHidesOutcome() {
			TestCluster cluster = cluster(46, 1, 1);
			cluster.store.setFaults(new StoreFaults(1, 0, 1, Integer.MAX_VALUE));
			// A commit writes the shard, the history entry and the head.
			long lastWrite = cluster.store.writes() + 3;
			CompletableFuture<ConfigurationChangeResult> result = cluster.node(0).configuration
				.change(workspace("acme", 5, null));
			for (int i = 0; i < 10_000 && cluster.store.writes() < lastWrite; i++) {
				cluster.timer.advance(1);
			}
			cluster.store.setAvailable(false);
			assertThat(cluster.await(result).outcome(), is(ConfigurationChangeOutcome.UNKNOWN));
		}

		// Guards against a history that lacks changes or contains hashes of secrets.
		@Test
		void recordsHistoryWithoutSecrets() {
			TestCluster cluster = cluster(44, 1, 1);
			change(cluster, 0, workspace("acme", 5, null));
			change(cluster, 0, new ConfigurationChange("bob", "issue", null, List.of(ConfigurationEdit
				.merge(ConfigurationSection.KEYS, "k1", Map.of("workspace", "acme", "secretHash", "a".repeat(64))))));
			List<ConfigurationChangeRecord> history = cluster.await(cluster.node(0).configuration.history(10));
			assertThat(history, hasSize(2));
			assertThat(history.get(0).author(), is("bob"));
			assertThat(history.toString(), not(containsString("aaaa")));
		}

		// Guards against an older release that deletes fields written by a newer one.
		@Test
		void keepsUnknownFields() {
			TestCluster cluster = cluster(45, 1, 1);
			change(cluster, 0,
					new ConfigurationChange("ann", "test", null,
							List.of(ConfigurationEdit.merge(ConfigurationSection.WORKSPACES, "acme",
									Map.of("ratePerSecond", 1, "burst", 1, "colour", "blue")))));
			ConfigurationChangeResult result = change(cluster, 0, workspace("acme", 2, null));
			assertThat(result.differences().get(0).after(), containsString("\"colour\":\"blue\""));
		}

	}

	@Nested
	class Restarts {

		// Guards against an instance that restarts during a store outage and serves the
		// outdated configuration of its data folder.
		@Test
		void fetchesNewestVersionFromPeersDuringStoreOutage() {
			TestCluster cluster = cluster(50, 3, 3);
			change(cluster, 0, workspace("acme", 5, null));
			cluster.timer.advance(MAX_PROPAGATION_MS);
			Map<String, String> staleDisk = new HashMap<>(cluster.node(4).disk);
			change(cluster, 0, workspace("acme", 6, null));
			cluster.timer.advance(MAX_PROPAGATION_MS);
			cluster.store.setAvailable(false);
			ClusterNode restarted = cluster.add("restarted", TestCluster.zone(1), staleDisk);
			cluster.await(restarted.configuration.start());
			assertThat(restarted.configuration.version(), is(2L));
		}

		// Guards against an instance that restarts in an isolated zone and rejects all
		// callers although its data folder contains the configuration, and against an
		// instance that reports ready without any configuration.
		@Test
		void loadsVersionFromDataFolderWithoutStoreAndPeers() {
			TestCluster cluster = cluster(51, 1, 1);
			change(cluster, 0, workspace("acme", 5, null));
			cluster.store.setAvailable(false);
			cluster.node(0).host.crash();
			ClusterNode restarted = cluster.add("restarted", TestCluster.zone(0), cluster.node(0).disk);
			cluster.await(restarted.configuration.start());
			assertThat(restarted.configuration.version(), is(1L));
			ClusterNode emptyInstance = cluster.add("blank", TestCluster.zone(1), new HashMap<>());
			restarted.host.crash();
			emptyInstance.configuration.start();
			cluster.timer.advance(60_000);
			assertThat(emptyInstance.configuration.isReady(), is(false));
			cluster.store.setAvailable(true);
			cluster.timer.advance(MAX_PROPAGATION_MS);
			assertThat(emptyInstance.configuration.version(), is(1L));
		}

	}

}
