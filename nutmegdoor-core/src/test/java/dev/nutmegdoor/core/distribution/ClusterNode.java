package dev.nutmegdoor.core.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.configuration.ConfigurationSettings;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fault.InstanceStoppedException;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.key.KeyController;
import dev.nutmegdoor.core.key.KeySettings;
import dev.nutmegdoor.core.key.WithdrawalController;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;

/**
 * Instance of a {@link TestCluster}. Its membership view is ideal: crashed and
 * unreachable instances become suspect within 200 ms.
 */
public final class ClusterNode implements MembershipView, LocalPersistence {

	/** Age up to which the view is reused; a new one per call slows down large tests. */
	private static final long MAX_VIEW_AGE_MS = 200;

	public final FakeHost host;

	public final PeerTransport transport;

	public final ConfigurationController configuration;

	public final WithdrawalController withdrawals;

	public final KeyController keys;

	public final InvariantRegistry invariants = new InvariantRegistry();

	public final UniformRandomProvider random;

	public final Map<String, String> disk;

	public @Nullable Step crashAt;

	private final TestCluster cluster;

	private List<Member> members = List.of();

	private long membersReadMs;

	ClusterNode(TestCluster cluster, FakeHost host, long seed, Map<String, String> disk) {
		this.cluster = cluster;
		this.host = host;
		this.disk = disk;
		this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		this.transport = cluster.network.join(host);
		this.configuration = new ConfigurationController(ConfigurationSettings.DEFAULT, host, this.transport,
				cluster.store.clientOf(host), this, this, this.random, this.invariants, this::reached, EventLog.NONE);
		this.withdrawals = new WithdrawalController(KeySettings.DEFAULT, host, this.transport,
				cluster.store.clientOf(host), this, this, this.random, this.invariants, this::reached, EventLog.NONE);
		this.keys = new KeyController(this.configuration, this.withdrawals, this.random::nextBytes, host,
				this.invariants);
	}

	public void start() {
		this.configuration.start();
		this.withdrawals.start();
	}

	public void reached(Step step) {
		if (step == this.crashAt) {
			this.host.crash();
			throw new InstanceStoppedException(step);
		}
	}

	@Override
	public Member self() {
		return new Member(this.host.id(), this.host.availabilityZone(), "127.0.0.1", 1, MemberState.LIVE);
	}

	@Override
	public List<Member> members() {
		long nowMs = this.cluster.timer.nowMs();
		if (this.members.isEmpty() || nowMs - this.membersReadMs >= MAX_VIEW_AGE_MS) {
			this.members = readMembers();
			this.membersReadMs = nowMs;
		}
		return this.members;
	}

	private List<Member> readMembers() {
		List<Member> members = new ArrayList<>();
		for (ClusterNode node : this.cluster.nodes.values()) {
			members.add(new Member(node.host.id(), node.host.availabilityZone(), "127.0.0.1", 1,
					this.cluster.isSuspect(this, node) ? MemberState.SUSPECT : MemberState.LIVE));
		}
		return members;
	}

	@Override
	public @Nullable Member member(InstanceId id) {
		return members().stream().filter((member) -> member.id().equals(id)).findFirst().orElse(null);
	}

	@Override
	public void subscribe(Consumer<Member> listener) {
	}

	@Override
	public CompletableFuture<Map<String, String>> load() {
		return CompletableFuture.completedFuture(new HashMap<>(this.disk));
	}

	@Override
	public void put(String name, String value) {
		this.disk.put(name, value);
	}

	@Override
	public void remove(String name) {
		this.disk.remove(name);
	}

}
