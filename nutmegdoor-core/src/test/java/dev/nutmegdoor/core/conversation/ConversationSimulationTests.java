package dev.nutmegdoor.core.conversation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.fake.LinkSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Stores and reads turns through three gateways while members freeze, are killed or
 * refuse, zones are cut off and messages are lost. A failing seed is part of the message.
 */
class ConversationSimulationTests {

	private static final List<String> ZONES = List.of("a", "b", "c");

	private static final int STEPS = 120;

	private static final int SEEDS_PER_CASE = 25;

	private static final int MAX_KILLED = 2;

	// Guards against a turn that is reported as stored on too few disks, a stored turn
	// that is reported as unknown, and a chain with other bytes than were stored, under
	// any order of faults.
	@ParameterizedTest
	@ValueSource(longs = { 0, 100, 200, 300 })
	void keepsEachStoredTurn(long firstSeed) {
		int stored = 0;
		int read = 0;
		for (long seed = firstSeed; seed < firstSeed + SEEDS_PER_CASE; seed++) {
			Run run = new Run(seed);
			for (int step = 0; step < STEPS; step++) {
				run.step();
			}
			assertThat("seed " + seed, run.fleet.invariants.violations(), is(empty()));
			stored += run.bodies.size();
			read += run.readChains;
		}
		assertThat(stored, is(greaterThan(SEEDS_PER_CASE * STEPS / 10)));
		assertThat(read, is(greaterThan(SEEDS_PER_CASE * STEPS / 10)));
	}

	/** One run with its own seed. */
	private static final class Run {

		private final String name;

		private final UniformRandomProvider random;

		private final ConversationFleet fleet;

		private final List<ConversationClient> clients = new ArrayList<>();

		/** Expected bodies of the stored turns by identifier. */
		private final Map<String, String> bodies = new LinkedHashMap<>();

		private int killed;

		private int readChains;

		private int nextId;

		private Run(long seed) {
			this.name = "seed " + seed;
			this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
			this.fleet = new ConversationFleet(2 + this.random.nextInt(3), 2 + this.random.nextInt(3),
					2 + this.random.nextInt(3));
			this.fleet.network.setSettings(new LinkSettings(1, 5, 3, 0.01, 0.01));
			this.fleet.isMemberListRead = true;
			ZONES.forEach((zone) -> this.clients.add(this.fleet.client("gateway-" + zone, zone)));
		}

		private void step() {
			switch (this.random.nextInt(8)) {
				case 0 -> this.fleet.setCutOff(ZONES.get(this.random.nextInt(3)), this.random.nextBoolean());
				case 1 -> changeMember();
				case 2 -> ZONES.forEach((zone) -> this.fleet.setCutOff(zone, false));
				case 3, 4, 5 -> store();
				default -> read();
			}
			this.fleet.timer.advance(this.random.nextInt(400));
		}

		private void changeMember() {
			List<FakeTurnMember> members = List.copyOf(this.fleet.members.values());
			FakeTurnMember member = members.get(this.random.nextInt(members.size()));
			switch (this.random.nextInt(5)) {
				case 0 -> member.host.pause();
				case 1 -> {
					member.error = "disk full";
				}
				case 2 -> {
					if (this.killed < MAX_KILLED) {
						this.killed++;
						member.host.crash();
					}
				}
				default -> members.forEach((other) -> {
					other.host.resume();
					other.error = null;
				});
			}
		}

		private ConversationClient anyClient() {
			return this.clients.get(this.random.nextInt(this.clients.size()));
		}

		private void store() {
			List<String> ids = List.copyOf(this.bodies.keySet());
			String previous = (ids.isEmpty() || this.random.nextInt(3) == 0) ? null
					: ids.get(this.random.nextInt(ids.size()));
			String id = "t" + this.nextId++;
			CompletableFuture<Void> result = anyClient().store(ConversationFleet.turn(id, previous));
			this.fleet.timer.advance(1_001);
			assertThat(this.name + ": the decision is made in time", result.isDone(), is(true));
			if (!result.isCompletedExceptionally()) {
				List<String> holders = this.fleet.holders(id);
				long zones = holders.stream().map((holder) -> holder.substring(0, 1)).distinct().count();
				long zoneMembers = this.fleet.members.keySet()
					.stream()
					.filter((member) -> member.startsWith(holders.get(0).substring(0, 1)))
					.count();
				boolean isSafe = (zones > 1) ? holders.size() >= 3 : holders.size() >= Math.min(3, zoneMembers);
				assertThat(this.name + ": turn " + id + " is at " + holders, isSafe, is(true));
				this.bodies.put(id,
						((previous != null) ? this.bodies.get(previous) : "") + "in-" + id + ";out-" + id + "\n");
			}
		}

		private void read() {
			boolean isUnknown = this.bodies.isEmpty() || this.random.nextInt(5) == 0;
			List<String> ids = List.copyOf(this.bodies.keySet());
			String id = isUnknown ? "none" : ids.get(this.random.nextInt(ids.size()));
			// A gateway that has restarted has no cached turns.
			if (this.random.nextBoolean()) {
				int index = this.random.nextInt(this.clients.size());
				this.clients.set(index, this.fleet.client("gateway-" + this.nextId++, ZONES.get(index)));
			}
			CompletableFuture<Chain> result = this.fleet.read(anyClient(), id);
			this.fleet.timer.advance(5_000);
			assertThat(this.name + ": the read of " + id + " ends", result.isDone(), is(true));
			try {
				Chain chain = result.join();
				this.readChains++;
				assertThat(this.name, new String(chain.compose(new byte[0]), StandardCharsets.UTF_8),
						is(this.bodies.get(id)));
				this.fleet.memory.release(chain.bytes());
			}
			catch (CompletionException ex) {
				ConversationFailure failure = ((ConversationException) ex.getCause()).failure();
				if (!isUnknown) {
					assertThat(this.name + ": turn " + id + " at " + this.fleet.holders(id), failure,
							is(not(ConversationFailure.NOT_FOUND)));
				}
			}
		}

	}

}
