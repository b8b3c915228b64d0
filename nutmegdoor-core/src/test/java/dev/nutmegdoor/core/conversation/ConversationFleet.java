package dev.nutmegdoor.core.conversation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Members in three zones and the clients of gateways, on virtual time.
 */
final class ConversationFleet {

	static final String WORKSPACE = "w";

	static final FailureTolerance TOLERANCE = new FailureTolerance(2, 1);

	final VirtualTimerService timer = new VirtualTimerService(0);

	final FakePeerNetwork network = new FakePeerNetwork(RandomSource.XO_SHI_RO_256_PP.create(1), LinkSettings.RELIABLE);

	final Map<String, FakeTurnMember> members = new LinkedHashMap<>();

	final InvariantRegistry invariants = new InvariantRegistry();

	final List<String> events = new ArrayList<>();

	boolean isMemberListRead;

	final ChainMemory memory = new ChainMemory(100_000);

	/**
	 * Creates members.
	 * @param perZone number of members in zones a, b and c
	 */
	ConversationFleet(int... perZone) {
		for (int zone = 0; zone < perZone.length; zone++) {
			for (int i = 1; i <= perZone[zone]; i++) {
				addMember(String.valueOf((char) ('a' + zone)), i);
			}
		}
	}

	FakeTurnMember addMember(String zone, int number) {
		String name = zone + number;
		FakeHost host = new FakeHost(this.timer, new InstanceId(name), new AvailabilityZone(zone), 0);
		FakeTurnMember created = new FakeTurnMember(
				new LedgerMember(host.id(), host.availabilityZone(), "10.0.0.1", number), host,
				this.network.join(host));
		this.members.put(name, created);
		return created;
	}

	ConversationClient client(String name, String zone) {
		return client(name, zone, this.members.values().stream().map((member) -> member.member).toList());
	}

	ConversationClient client(String name, String zone, List<LedgerMember> known) {
		FakeHost host = new FakeHost(this.timer, new InstanceId(name), new AvailabilityZone(zone), 0);
		LedgerMembers ledgerMembers = new LedgerMembers();
		known.forEach(ledgerMembers::add);
		EventLog log = (event, fields) -> this.events.add(event + " " + List.of(fields));
		return new ConversationClient(new ConversationDependencies(this.network.join(host), ledgerMembers, host,
				this.invariants, log, host.availabilityZone(), TOLERANCE, () -> this.isMemberListRead), this.memory);
	}

	void setCutOff(String zone, boolean isCutOff) {
		for (String other : List.of("a", "b", "c")) {
			if (!other.equals(zone)) {
				this.network.setCut(new AvailabilityZone(zone), new AvailabilityZone(other), isCutOff);
			}
		}
	}

	FakeTurnMember chosen(String group, String zone) {
		return ordered(group, zone).get(0);
	}

	/** Members of a zone in the order in which they are used for a group. */
	List<FakeTurnMember> ordered(String group, String zone) {
		return TurnOwners.byZone(group, this.members.values().stream().map((member) -> member.member).toList())
			.get(new AvailabilityZone(zone))
			.stream()
			.map((member) -> this.members.get(member.id().value()))
			.toList();
	}

	static StoredTurn turn(String id, @Nullable String previousId) {
		return new StoredTurn(new TurnKey(WORKSPACE, id), previousId, "g", bytes("in-" + id + ";"),
				bytes("out-" + id + "\n"), 60_000);
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/** Members that have a turn. */
	List<String> holders(String id) {
		return this.members.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().turns.containsKey(new TurnKey(WORKSPACE, id)))
			.map(Map.Entry::getKey)
			.toList();
	}

	void storeAt(StoredTurn turn, FakeTurnMember... receivers) {
		for (FakeTurnMember receiver : receivers) {
			receiver.turns.put(turn.key(), turn);
		}
	}

	CompletableFuture<Chain> read(ConversationClient client, String id) {
		return client.read(new TurnKey(WORKSPACE, id), "g", 10_000);
	}

	/** Reads a chain, advances the time and returns the composed body. */
	String body(ConversationClient client, String id) {
		CompletableFuture<Chain> chain = read(client, id);
		this.timer.advance(3_000);
		return new String(chain.join().compose(bytes("new")), StandardCharsets.UTF_8);
	}

	static ConversationFailure failureOf(CompletableFuture<?> future) {
		try {
			throw new AssertionError("the operation has not failed: " + future.getNow(null));
		}
		catch (CompletionException ex) {
			return ((ConversationException) ex.getCause()).failure();
		}
	}

}
