package dev.nutmegdoor.node.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import reactor.netty.http.HttpResources;

import dev.nutmegdoor.core.call.CallMessages;
import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.configuration.ConfigurationHeartbeat;
import dev.nutmegdoor.core.configuration.ConfigurationMessages;
import dev.nutmegdoor.core.configuration.ConfigurationSettings;
import dev.nutmegdoor.core.configuration.FleetVersionQuery;
import dev.nutmegdoor.core.distribution.LocalPersistence;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.key.KeyController;
import dev.nutmegdoor.core.key.KeyMessages;
import dev.nutmegdoor.core.key.KeySettings;
import dev.nutmegdoor.core.key.WithdrawalController;
import dev.nutmegdoor.core.key.WithdrawalHeartbeat;
import dev.nutmegdoor.core.lease.LeaseController;
import dev.nutmegdoor.core.lease.LeaseMessages;
import dev.nutmegdoor.core.lease.LeaseSettings;
import dev.nutmegdoor.core.limit.AdmissionListener;
import dev.nutmegdoor.core.limit.LimitController;
import dev.nutmegdoor.core.limit.LimitMessages;
import dev.nutmegdoor.core.limit.LimitSettings;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.membership.InstanceRegistry;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.membership.MembershipController;
import dev.nutmegdoor.core.membership.MembershipMessages;
import dev.nutmegdoor.core.membership.MembershipSettings;
import dev.nutmegdoor.core.membership.StoredInstanceRegistry;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.program.ProgramMessages;
import dev.nutmegdoor.core.store.BudgetedObjectStore;
import dev.nutmegdoor.core.store.CallBudgetSettings;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.operator.RemoteAnswer;
import dev.nutmegdoor.node.operator.RemoteQuery;
import dev.nutmegdoor.node.peer.TcpPeerTransport;
import dev.nutmegdoor.node.persistence.FileLocalPersistence;
import dev.nutmegdoor.node.settings.ClusterSettings;
import dev.nutmegdoor.platform.HttpObjectStore;
import dev.nutmegdoor.platform.PlatformHttp;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.MessageTypes;

/**
 * Composes the controllers of the state that instances share (membership, lease,
 * configuration, keys and rate limits) with their connections to peers and the platform.
 */
final class SharedState implements AutoCloseable {

	/** Lease renewals queued behind other writes could miss the expiry of the lease. */
	private static final Set<String> URGENT_KINDS = Set.of("lease");

	private final InstanceId self;

	private final AvailabilityZone zone;

	private final PlatformHttp platformHttp;

	private final InstanceRegistry instanceRegistry;

	private final LocalPersistence persistence;

	private final @Nullable FileLocalPersistence filePersistence;

	private final TcpPeerTransport peers;

	private final BudgetedObjectStore store;

	private final MembershipController membership;

	private final LeaseController lease;

	private final ConfigurationController configuration;

	private final FleetVersionQuery fleetVersions;

	private final WithdrawalController withdrawals;

	private final KeyController keys;

	private final LimitController limits;

	/**
	 * Creates the controllers; they do nothing until {@link #start}.
	 * @param self identifier of this run of the instance
	 * @param zone zone of the instance
	 * @param settings addresses of peers and platform, and the data folder
	 * @param control thread on which all controllers run
	 * @param random generator for jitter and random choices
	 * @param invariants counts checks and violations
	 * @param events receives the events of all controllers
	 */
	SharedState(InstanceId self, AvailabilityZone zone, ClusterSettings settings, ControlThread control,
			UniformRandomProvider random, InvariantRegistry invariants, EventLog events) {
		this.self = self;
		this.zone = zone;
		this.platformHttp = new PlatformHttp(settings.platform(), control, HttpResources.get());
		this.filePersistence = openDataFolder(settings.dataFolder(), control, events);
		this.persistence = (this.filePersistence != null) ? this.filePersistence : LocalPersistence.NONE;
		this.store = new BudgetedObjectStore(new HttpObjectStore(this.platformHttp, events), control, random,
				CallBudgetSettings.DEFAULT, URGENT_KINDS, events);
		this.instanceRegistry = new StoredInstanceRegistry(this.store, "instances", events);
		this.peers = new TcpPeerTransport(self, settings.peer(), new FrameCodec(new MessageTypes(messageTypes())),
				control, this::addressOf);
		int peerPort = this.peers.start();
		this.membership = new MembershipController(
				new Member(self, zone, settings.peer().host(), peerPort, MemberState.LIVE), control, this.peers,
				this.instanceRegistry, random, events, MembershipSettings.DEFAULT);
		this.lease = new LeaseController(control, this.peers, this.store, this.membership, random, StepListener.NONE,
				events, LeaseSettings.DEFAULT);
		this.configuration = new ConfigurationController(ConfigurationSettings.DEFAULT, control, this.peers, this.store,
				this.membership, this.persistence, random, invariants, StepListener.NONE, events);
		this.fleetVersions = new FleetVersionQuery(this.configuration, this.peers, this.membership);
		this.withdrawals = new WithdrawalController(KeySettings.DEFAULT, control, this.peers, this.store,
				this.membership, this.persistence, random, invariants, StepListener.NONE, events);
		this.keys = new KeyController(this.configuration, this.withdrawals, new SecureSecretSource(), control,
				invariants);
		this.limits = new LimitController(control, this.peers, this.store, this.membership, this.lease, this.lease,
				this.configuration, random, invariants, StepListener.NONE, events, AdmissionListener.NONE,
				LimitSettings.DEFAULT);
		this.membership.register(new ConfigurationHeartbeat(this.configuration));
		this.membership.register(new WithdrawalHeartbeat(this.withdrawals));
	}

	TcpPeerTransport peers() {
		return this.peers;
	}

	BudgetedObjectStore store() {
		return this.store;
	}

	MembershipController membership() {
		return this.membership;
	}

	LeaseController lease() {
		return this.lease;
	}

	ConfigurationController configuration() {
		return this.configuration;
	}

	FleetVersionQuery fleetVersions() {
		return this.fleetVersions;
	}

	KeyController keys() {
		return this.keys;
	}

	LimitController limits() {
		return this.limits;
	}

	/**
	 * Registers this instance, joins the other instances and loads the shared state. Must
	 * be called on the control thread.
	 * @return completes when the configuration and the key withdrawals are loaded
	 */
	CompletableFuture<Void> start() {
		CompletableFuture<Void> registered = this.instanceRegistry.register(directoryEntry(false))
			.exceptionally((error) -> null);
		return registered.thenCompose((ignored) -> {
			this.membership.start(List.of());
			this.lease.start();
			this.limits.start();
			return this.withdrawals.start();
		}).thenCompose((ignored) -> this.configuration.start());
	}

	/**
	 * Announces to the platform and all instances that this one is leaving.
	 */
	void leave() {
		this.membership.leave();
		this.instanceRegistry.register(directoryEntry(true)).exceptionally((error) -> null);
	}

	/**
	 * Removes this instance from the instance registry of the platform.
	 * @return completes normally after the attempt, also if it failed
	 */
	CompletableFuture<Void> unregister() {
		return this.instanceRegistry.unregister(directoryEntry(true)).exceptionally((error) -> null);
	}

	@Override
	public void close() {
		this.peers.close();
		this.platformHttp.close();
		if (this.filePersistence != null) {
			this.filePersistence.close();
		}
	}

	private DirectoryEntry directoryEntry(boolean isLeaving) {
		Member member = this.membership.self();
		return new DirectoryEntry(this.self, this.zone, member.host(), member.port(), isLeaving);
	}

	private static @Nullable FileLocalPersistence openDataFolder(@Nullable String folder, ControlThread control,
			EventLog events) {
		if (folder == null) {
			return null;
		}
		try {
			return new FileLocalPersistence(Path.of(folder), control, events);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to open the data folder " + folder, ex);
		}
	}

	private @Nullable InetSocketAddress addressOf(InstanceId instance) {
		Member member = this.membership.member(instance);
		return (member != null) ? new InetSocketAddress(member.host(), member.port()) : null;
	}

	private static List<Class<? extends PeerMessage>> messageTypes() {
		List<Class<? extends PeerMessage>> types = new ArrayList<>();
		types.addAll(MembershipMessages.types());
		types.addAll(LeaseMessages.types());
		types.addAll(LimitMessages.types());
		types.addAll(ConfigurationMessages.types());
		types.addAll(KeyMessages.types());
		types.addAll(ProgramMessages.types());
		types.addAll(CallMessages.types());
		types.add(RemoteQuery.class);
		types.add(RemoteAnswer.class);
		types.addAll(List.of(UnresolvedQuery.class, UnresolvedAnswer.class, ResolveRequest.class, ResolveAnswer.class));
		return types;
	}

}
