package dev.nutmegdoor.node.sheet;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationChangeOutcome;
import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.node.operator.service.SingleInstance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

class SheetLoaderTests {

	private static final String HEADER = "date,workspace,ratePerSecond,burst,weight,keys,priority:quote\n";

	private static final String DEFAULTS = "2026-12-04,*,,,,,2\n";

	private static final String HASH = "0123456789abcdef".repeat(4);

	private final SingleInstance instance = new SingleInstance(1);

	private final SheetLoader loader = new SheetLoader(this.instance.configuration, Runnable::run,
			SheetLoader.DEFAULT_MAX_DROPPED_SHARE);

	private SheetResult load(String csv, boolean isForced) {
		CompletableFuture<SheetResult> result = this.loader.load(csv, "ann", isForced, false);
		return this.instance.await(result);
	}

	private Configuration inForce() {
		return this.instance.configuration.current();
	}

	private static String sheetOf(int workspaces, double rate) {
		StringBuilder csv = new StringBuilder(HEADER).append(DEFAULTS);
		for (int i = 0; i < workspaces; i++) {
			csv.append("2026-12-04,workspace-").append(i).append(',').append(rate).append(",30,2,k");
			csv.append(i).append(':').append(HASH).append(",1\n");
		}
		return csv.toString();
	}

	@Nested
	class Loads {

		// Guards against settings of the sheet that don't reach the configuration.
		@Test
		void putAllColumnsInForce() {
			SheetResult result = load(HEADER + DEFAULTS + "2026-12-04,acme,5.5,30,2,k1:" + HASH + ",1\n", false);
			assertThat(result.outcome(), is(SheetOutcome.APPLIED));
			assertThat(inForce().workspaces().get(new WorkspaceId("acme")).ratePerSecond(), is(5.5));
			assertThat(inForce().workspaces().get(new WorkspaceId("acme")).workPriorities().get("quote"), is(1));
			assertThat(inForce().workKinds().get("quote").priority(), is(2));
			assertThat(inForce().keys().get(new KeyId("k1")).workspace(), is(new WorkspaceId("acme")));
		}

		// Guards against a daily load that writes although nothing changed, and against
		// more writes than the platform takes or values that it refuses.
		@Test
		void ofTwentyOneThousandWorkspacesStayWithinTheStoresLimits() {
			long before = SheetLoaderTests.this.instance.store.writes();
			assertThat(load(sheetOf(21_000, 5), false).outcome(), is(SheetOutcome.APPLIED));
			long writes = SheetLoaderTests.this.instance.store.writes() - before;
			// 64 shards, the entry of the history and the head.
			assertThat(writes, lessThanOrEqualTo(66L));
			assertThat(inForce().workspaces(), is(aMapWithSize(21_000)));
			before = SheetLoaderTests.this.instance.store.writes();
			assertThat(load(sheetOf(21_000, 5), false).outcome(), is(SheetOutcome.UNCHANGED));
			assertThat(SheetLoaderTests.this.instance.store.writes(), is(before));
		}

		// Guards against a sheet that overwrites a change made while it was compared.
		@Test
		void loseToAChangeMadeMeanwhile() {
			ConfigurationController other = SheetLoaderTests.this.instance.controller("i-2");
			SheetLoaderTests.this.instance.await(other.start());
			CompletableFuture<SheetResult> first = SheetLoaderTests.this.loader.load(sheetOf(2, 5), "ann", false,
					false);
			CompletableFuture<SheetResult> second = new SheetLoader(other, Runnable::run, 0.05).load(sheetOf(3, 6),
					"bob", false, false);
			SheetLoaderTests.this.instance.await(CompletableFuture.allOf(first, second));
			List<SheetOutcome> outcomes = List.of(first.join().outcome(), second.join().outcome());
			assertThat(outcomes, containsInAnyOrder(SheetOutcome.APPLIED, SheetOutcome.NOT_ACCEPTED));
			SheetResult lost = (outcomes.get(0) == SheetOutcome.NOT_ACCEPTED) ? first.join() : second.join();
			assertThat(lost.change().outcome(), is(ConfigurationChangeOutcome.LOST));
		}

	}

	@Nested
	class Checks {

		// Guards against a report that stops at the first wrong cell, and against half a
		// sheet in force.
		@Test
		void reportEveryWrongCellAndChangeNothing() {
			String secret = "nd_k2_" + "s".repeat(64);
			SheetResult result = load(HEADER + DEFAULTS + "2026-12-04,acme,\"5,5\",0,x,,1\n"
					+ "04.12.2026,bad id,5,3,1," + secret + ",-1\n2026-12-04,acme,5,3,1,,1\n2026-12-04,short\n", false);
			assertThat(result.outcome(), is(SheetOutcome.INVALID));
			assertThat(result.errors().stream().map((error) -> error.row() + " " + error.column()).toList(),
					containsInAnyOrder("3 ratePerSecond", "3 burst", "3 weight", "4 date", "4 workspace", "4 keys",
							"4 priority:quote", "5 workspace", "6 "));
			assertThat(result.errors().toString(), not(containsString(secret)));
			assertThat(inForce().version(), is(0L));
		}

		// Guards against a column that is misspelt and silently ignored.
		@Test
		void refuseUnknownAndMissingColumns() {
			SheetResult result = load("date,workspace,rate,burst\n2026-12-04,acme,1,1\n", false);
			assertThat(result.errors().stream().map(SheetError::column).toList(),
					containsInAnyOrder("rate", "ratePerSecond"));
		}

		// Guards against a key that a sheet moves to another workspace.
		@Test
		void refuseAKeyOfAnotherWorkspace() {
			load(HEADER + DEFAULTS + "2026-12-04,acme,5,3,1,k1:" + HASH + ",\n2026-12-04,bit,5,3,1,,\n", false);
			SheetResult result = load(
					HEADER + DEFAULTS + "2026-12-04,acme,5,3,1,,\n2026-12-04,bit,5,3,1,k1:" + HASH + ",\n", false);
			assertThat(result.errors(), hasSize(1));
		}

	}

	@Nested
	class Concerns {

		// Guards against yesterday's sheet that takes back today's.
		@Test
		void keepAnOlderSheetFromBeingLoadedUnforced() {
			String row = ",acme,%s,3,1,,\n";
			load(HEADER + DEFAULTS + "2026-12-04" + String.format(row, 5), false);
			String older = HEADER + "2026-12-03,*,,,,,2\n2026-12-03" + String.format(row, 4);
			assertThat(load(older, false).outcome(), is(SheetOutcome.NEEDS_FORCE));
			assertThat(inForce().workspaces().get(new WorkspaceId("acme")).ratePerSecond(), is(5.0));
			assertThat(load(older, true).outcome(), is(SheetOutcome.APPLIED));
			assertThat(inForce().workspaces().get(new WorkspaceId("acme")).ratePerSecond(), is(4.0));
		}

		// Guards against a truncated export that removes most workspaces.
		@Test
		void keepASheetThatDropsManyWorkspacesFromBeingLoadedUnforced() {
			load(sheetOf(100, 5), false);
			SheetResult refused = load(sheetOf(90, 5), false);
			assertThat(refused.outcome(), is(SheetOutcome.NEEDS_FORCE));
			assertThat(refused.plan().concerns(), contains(containsString("drops 10 of 100")));
			assertThat(load(sheetOf(96, 5), false).outcome(), is(SheetOutcome.APPLIED));
			assertThat(inForce().keys(), is(aMapWithSize(96)));
			assertThat(load(sheetOf(10, 5), true).outcome(), is(SheetOutcome.APPLIED));
		}

	}

}
