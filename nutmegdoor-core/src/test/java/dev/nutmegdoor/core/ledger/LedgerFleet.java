package dev.nutmegdoor.core.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.membership.StoredInstanceRegistry;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Runs one replica of the ledger and one gateway in each of three zones on virtual time.
 */
final class LedgerFleet {

	static final List<String> ZONES = List.of("a", "b", "c");

	static final long RETENTION_MS = 60_000;

	final VirtualTimerService timer = new VirtualTimerService(0);

	final FakePeerNetwork network;

	final FakeObjectStore store;

	final Map<String, MemoryDisk> disks = new HashMap<>();

	final Map<String, LedgerReplica> replicas = new HashMap<>();

	final Map<String, FakeHost> hosts = new HashMap<>();

	final Map<String, TokenBudgets> gateways = new HashMap<>();

	private final UniformRandomProvider random;

	private int startedGateways;

	LedgerFleet(long seed) {
		this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		this.network = new FakePeerNetwork(this.random, LinkSettings.RELIABLE);
		this.store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE);
		ZONES.forEach((zone) -> startReplica("r-" + zone, zone, true));
		this.timer.advance(1_000);
		ZONES.forEach((zone) -> startGateway("g-" + zone, zone));
		this.timer.advance(100);
	}

	void startReplica(String name, String zone, boolean isFirstStart) {
		FakeHost host = host(name, zone);
		MemoryDisk disk = this.disks.computeIfAbsent(name, (id) -> new MemoryDisk());
		boolean isNew = disk.durable.isEmpty();
		disk.host = host;
		LedgerReplica replica = new LedgerReplica(new LedgerMember(host.id(), host.availabilityZone(), "10.0.0.1", 1),
				this.network.join(host),
				new StoredInstanceRegistry(this.store.clientOf(host), "ledger-replicas", EventLog.NONE), disk, host,
				EventLog.NONE, LedgerSettings.DEFAULT, new LedgerMembers(), ReplicatedState.NONE);
		this.replicas.put(name, replica);
		replica.start(List.copyOf(disk.durable), isFirstStart || !isNew);
	}

	void startGateway(String name, String zone) {
		FakeHost host = host(name, zone);
		LedgerMembers members = new LedgerMembers();
		new StoredInstanceRegistry(this.store.clientOf(host), "ledger-replicas", EventLog.NONE).list()
			.thenAccept((entries) -> entries.forEach((entry) -> members.add(LedgerMember.of(entry))));
		this.gateways.put(name,
				new TokenBudgets(
						new LedgerDependencies(this.network.join(host), members, () -> peersOf(name), host,
								new InvariantRegistry(), EventLog.NONE, LedgerSettings.DEFAULT),
						name + "~" + this.startedGateways++));
	}

	private List<InstanceId> peersOf(String name) {
		return this.gateways.keySet().stream().filter((id) -> !id.equals(name)).map(InstanceId::new).toList();
	}

	private FakeHost host(String name, String zone) {
		FakeHost host = new FakeHost(this.timer, new InstanceId(name), new AvailabilityZone(zone), 0);
		this.hosts.put(name, host);
		return host;
	}

	void crash(String name) {
		this.hosts.get(name).crash();
	}

	void setPartitioned(String zone, boolean isPartitioned) {
		for (String other : ZONES) {
			if (!other.equals(zone)) {
				this.network.setCut(new AvailabilityZone(zone), new AvailabilityZone(other), isPartitioned);
			}
		}
	}

	/**
	 * Reserves tokens and advances the time until the decision is made.
	 */
	TokenReservation reserve(String gateway, String program, long tokens, long budget) {
		CompletableFuture<TokenReservation> result = this.gateways.get(gateway)
			.reserve(program, tokens, budget, RETENTION_MS);
		this.timer.advance(600);
		return result.join();
	}

	void release(String gateway, String program, long tokens) {
		this.gateways.get(gateway).release(program, tokens);
	}

	/**
	 * Reserves tokens for turns until the first turn that is not granted, at most 100
	 * times.
	 * @return total number of granted tokens
	 */
	long spendAll(String gateway, String program, long tokens, long budget) {
		long granted = 0;
		for (int i = 0; i < 100; i++) {
			long grantedTokens = reserve(gateway, program, tokens, budget).tokens();
			if (grantedTokens == 0) {
				return granted;
			}
			granted += grantedTokens;
		}
		return granted;
	}

	/** Disk that keeps the entries of completed writes when the process crashes. */
	static final class MemoryDisk implements LedgerLog {

		final List<LedgerEntry> durable = new ArrayList<>();

		private FakeHost host;

		@Override
		public CompletableFuture<Void> append(List<LedgerEntry> entries) {
			CompletableFuture<Void> result = new CompletableFuture<>();
			this.host.schedule(1, () -> {
				this.durable.addAll(entries);
				result.complete(null);
			});
			return result;
		}

		@Override
		public CompletableFuture<Void> compact(List<LedgerEntry> entries) {
			this.durable.clear();
			return append(entries);
		}

		@Override
		public long sizeBytes() {
			return 0;
		}

	}

}
