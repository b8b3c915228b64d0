package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.ledger.LedgerEntry;
import dev.nutmegdoor.core.ledger.LedgerLog;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.ledger.LedgerReplica;
import dev.nutmegdoor.core.ledger.LedgerSettings;
import dev.nutmegdoor.core.ledger.ReplicatedState;
import dev.nutmegdoor.core.membership.StoredInstanceRegistry;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Runs two storage members in each of three zones on virtual time, named by their zone
 * such as {@code a1}, and a client in zone a.
 */
final class TurnReplicaFleet {

	static final List<String> NAMES = List.of("a1", "a2", "b1", "b2", "c1", "c2");

	static final long RETENTION_MS = 60_000;

	static final long REQUEST_TIMEOUT_MS = 1_000;

	final VirtualTimerService timer = new VirtualTimerService(1_000_000);

	final FakePeerNetwork network;

	final Map<String, FakeHost> hosts = new HashMap<>();

	final Map<String, MemoryTurnLog> disks = new HashMap<>();

	final Map<String, TurnReplica> replicas = new TreeMap<>();

	final Map<String, LedgerReplica> ledgers = new HashMap<>();

	final Map<String, LedgerMembers> members = new HashMap<>();

	final InvariantRegistry invariants = new InvariantRegistry();

	private final FakeObjectStore store;

	private final PeerTransport client;

	TurnReplicaFleet(long seed) {
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		this.network = new FakePeerNetwork(random, LinkSettings.RELIABLE);
		this.store = new FakeObjectStore(this.timer, random, StoreFaults.NONE);
		FakeHost host = new FakeHost(this.timer, new InstanceId("gateway"), new AvailabilityZone("a"), 0);
		this.client = this.network.join(host);
		NAMES.forEach((name) -> start(name, true));
		this.timer.advance(2_000);
	}

	/** Starts a member on its disk; without one, the disk is empty. */
	void start(String name, boolean isFirstStart) {
		FakeHost host = new FakeHost(this.timer, new InstanceId(name), new AvailabilityZone(name.substring(0, 1)), 0);
		MemoryTurnLog earlier = this.disks.get(name);
		MemoryTurnLog disk = (earlier != null) ? new MemoryTurnLog(host, earlier)
				: new MemoryTurnLog(host, isFirstStart);
		this.disks.put(name, disk);
		PeerTransport transport = this.network.join(host);
		LedgerMembers listed = new LedgerMembers();
		TurnReplica replica = new TurnReplica(member(host), transport, listed, disk, host, EventLog.NONE,
				this.invariants);
		this.replicas.put(name, replica);
		startLedger(host, transport, listed, replica);
		replica.start(disk.recovered(), disk.isComplete);
	}

	/** Starts a member of a version that keeps no turns. */
	void startOldVersion(String name) {
		FakeHost host = new FakeHost(this.timer, new InstanceId(name), new AvailabilityZone(name.substring(0, 1)), 0);
		PeerTransport transport = this.network.join(host);
		for (Class<? extends PeerMessage> type : TurnMessages.types()) {
			transport.subscribe(type,
					(from, message) -> CompletableFuture.failedFuture(new PeerException(PeerFailure.REMOTE_ERROR,
							name + " answered: unknown type " + type.getSimpleName())));
		}
		this.replicas.remove(name);
		startLedger(host, transport, new LedgerMembers(), ReplicatedState.NONE);
	}

	private void startLedger(FakeHost host, PeerTransport transport, LedgerMembers listed, ReplicatedState turns) {
		String name = host.id().value();
		LedgerReplica ledger = new LedgerReplica(member(host), transport,
				new StoredInstanceRegistry(this.store.clientOf(host), "ledger-replicas", EventLog.NONE), new EmptyLog(),
				host, EventLog.NONE, LedgerSettings.DEFAULT, listed, turns);
		this.hosts.put(name, host);
		this.members.put(name, listed);
		this.ledgers.put(name, ledger);
		ledger.start(List.of(), this.disks.containsKey(name) && this.disks.get(name).isComplete);
	}

	private static LedgerMember member(FakeHost host) {
		return new LedgerMember(host.id(), host.availabilityZone(), "10.0.0.1", 1);
	}

	void crash(String name) {
		this.hosts.get(name).crash();
	}

	void restart(String name) {
		crash(name);
		start(name, false);
	}

	void restartWithEmptyDisk(String name) {
		crash(name);
		this.disks.remove(name);
		start(name, false);
	}

	void setCutOff(String zone, boolean isCutOff) {
		for (String other : List.of("a", "b", "c")) {
			if (!other.equals(zone)) {
				this.network.setCut(new AvailabilityZone(zone), new AvailabilityZone(other), isCutOff);
			}
		}
	}

	/** Returns the members that are chosen for a group if the given ones exist. */
	static List<String> chosen(String group, String... names) {
		List<LedgerMember> members = new ArrayList<>();
		for (String name : names) {
			members
				.add(new LedgerMember(new InstanceId(name), new AvailabilityZone(name.substring(0, 1)), "10.0.0.1", 1));
		}
		return TurnOwners.chosen(group, members).stream().map((member) -> member.id().value()).toList();
	}

	static List<String> chosen(String group) {
		return chosen(group, NAMES.toArray(String[]::new));
	}

	static StoredTurn turn(String id, @Nullable String previousId, String group) {
		return turn(id, previousId, group, 100);
	}

	static StoredTurn turn(String id, @Nullable String previousId, String group, int bytes) {
		byte[] content = new byte[bytes];
		Arrays.fill(content, (byte) id.hashCode());
		return new StoredTurn(key(id), previousId, group, content, new byte[] { 1, 2, 3 }, RETENTION_MS);
	}

	static TurnKey key(String id) {
		return new TurnKey("w", id);
	}

	/** Stores a turn on the members and returns those that have confirmed it. */
	List<String> store(StoredTurn turn, List<String> names) {
		Map<String, CompletableFuture<TurnStored>> answers = new TreeMap<>();
		names.forEach((name) -> answers.put(name, request(name, new TurnStore(turn), TurnStored.class)));
		this.timer.advance(REQUEST_TIMEOUT_MS);
		return answers.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().isCompletedExceptionally())
			.map(Map.Entry::getKey)
			.toList();
	}

	<A extends PeerMessage> CompletableFuture<A> request(String name, PeerMessage message, Class<A> answerType) {
		return this.client.request(new InstanceId(name), message, answerType, REQUEST_TIMEOUT_MS);
	}

	TurnChain query(String name, String id) {
		return query(name, key(id), 0);
	}

	TurnChain query(String name, TurnKey key, long fingerprint) {
		CompletableFuture<TurnChain> answer = request(name, new TurnQuery(key, fingerprint), TurnChain.class);
		this.timer.advance(REQUEST_TIMEOUT_MS / 2);
		return answer.join();
	}

	List<String> ids(String name, String id) {
		return query(name, id).turns().stream().map((turn) -> turn.key().id()).toList();
	}

	/** Returns the running members that have a turn on their disks. */
	List<String> holders(String id) {
		return this.replicas.keySet()
			.stream()
			.filter((name) -> !this.hosts.get(name).isCrashed() && this.disks.get(name).durable.containsKey(key(id)))
			.toList();
	}

	private static final class EmptyLog implements LedgerLog {

		@Override
		public CompletableFuture<Void> append(List<LedgerEntry> entries) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletableFuture<Void> compact(List<LedgerEntry> entries) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public long sizeBytes() {
			return 0;
		}

	}

}
