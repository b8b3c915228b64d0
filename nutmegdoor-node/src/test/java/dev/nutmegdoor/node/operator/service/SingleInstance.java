package dev.nutmegdoor.node.operator.service;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.configuration.ConfigurationSettings;
import dev.nutmegdoor.core.configuration.FleetVersionQuery;
import dev.nutmegdoor.core.distribution.LocalPersistence;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.key.KeyController;
import dev.nutmegdoor.core.key.KeySettings;
import dev.nutmegdoor.core.key.WithdrawalController;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * An instance without peers on virtual time.
 */
public final class SingleInstance implements MembershipView {

	public final VirtualTimerService timer = new VirtualTimerService(0);

	public final FakeObjectStore store;

	public final ConfigurationController configuration;

	public final FleetVersionQuery fleet;

	public final KeyController keys;

	private final FakeHost host = new FakeHost(this.timer, new InstanceId("i-1"), new AvailabilityZone("a"), 0);

	private final UniformRandomProvider random;

	private final PeerTransport transport;

	public SingleInstance(long seed) {
		this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		this.store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE);
		this.transport = transportOf(this.host);
		InvariantRegistry invariants = new InvariantRegistry();
		this.configuration = controller(this.host, this.transport);
		this.fleet = new FleetVersionQuery(this.configuration, this.transport, this);
		WithdrawalController withdrawals = new WithdrawalController(KeySettings.DEFAULT, this.host, this.transport,
				this.store.clientOf(this.host), this, LocalPersistence.NONE, this.random, invariants, StepListener.NONE,
				EventLog.NONE);
		this.keys = new KeyController(this.configuration, withdrawals, this.random::nextBytes, this.host, invariants);
		await(this.configuration.start());
		await(withdrawals.start());
	}

	/**
	 * Creates the configuration controller of a second instance on the same store.
	 * @param id identifier of the instance
	 * @return the controller, not started
	 */
	public ConfigurationController controller(String id) {
		FakeHost other = new FakeHost(this.timer, new InstanceId(id), new AvailabilityZone("a"), 0);
		return controller(other, transportOf(other));
	}

	public <T> T await(CompletableFuture<T> future) {
		for (int i = 0; i < 10_000 && !future.isDone(); i++) {
			this.timer.advance(1);
		}
		return future.join();
	}

	private PeerTransport transportOf(FakeHost owner) {
		return new FakePeerNetwork(this.random, LinkSettings.RELIABLE).join(owner);
	}

	private ConfigurationController controller(FakeHost owner, PeerTransport peers) {
		return new ConfigurationController(ConfigurationSettings.DEFAULT, owner, peers, this.store.clientOf(owner),
				this, LocalPersistence.NONE, this.random, new InvariantRegistry(), StepListener.NONE, EventLog.NONE);
	}

	@Override
	public Member self() {
		return new Member(this.host.id(), this.host.availabilityZone(), "127.0.0.1", 1, MemberState.LIVE);
	}

	@Override
	public List<Member> members() {
		return List.of(self());
	}

	@Override
	public @Nullable Member member(InstanceId id) {
		return id.equals(this.host.id()) ? self() : null;
	}

	@Override
	public void subscribe(Consumer<Member> listener) {
	}

}
