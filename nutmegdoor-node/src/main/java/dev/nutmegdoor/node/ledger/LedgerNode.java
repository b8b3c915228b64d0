package dev.nutmegdoor.node.ledger;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.conversation.TurnMessages;
import dev.nutmegdoor.core.conversation.TurnReplica;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.ledger.LedgerMessages;
import dev.nutmegdoor.core.ledger.LedgerReplica;
import dev.nutmegdoor.core.ledger.LedgerSettings;
import dev.nutmegdoor.core.membership.InstanceRegistry;
import dev.nutmegdoor.core.membership.StoredInstanceRegistry;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.store.ListWatcher;
import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.disk.ChannelOpener;
import dev.nutmegdoor.node.disk.DiskBudget;
import dev.nutmegdoor.node.peer.PeerTransportSettings;
import dev.nutmegdoor.node.peer.TcpPeerTransport;
import dev.nutmegdoor.node.process.MetricsText;
import dev.nutmegdoor.node.process.ObservationServer;
import dev.nutmegdoor.node.process.PlatformConnection;
import dev.nutmegdoor.platform.ProcessSettings;
import dev.nutmegdoor.platform.RetirementTranslator;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.MessageTypes;

/**
 * A process that keeps one replica of the token ledger on the disk of its machine.
 */
public final class LedgerNode {

	/** Kind of the store's objects that list the replicas. */
	public static final String REGISTRY_KIND = "ledger-replicas";

	private static final String SUBFOLDER = "ledger";

	private static final String TURN_SUBFOLDER = "turns";

	private static final long MEBIBYTE = 1024 * 1024;

	/**
	 * Space that turns leave to the ledger, whose log grows to 16 MB and is then written
	 * again before the old file is deleted.
	 */
	private static final long LEDGER_BYTES = 48 * MEBIBYTE;

	private final ProcessSettings settings;

	private final EventLog events;

	private final ControlThread control = new ControlThread("control");

	private final LoopResources loops = LoopResources.create("traffic", 1, true);

	private final LedgerMembers members = new LedgerMembers();

	private final TcpPeerTransport transport;

	private final FileTurnLog turnLog;

	private final FileLedgerLog log;

	private final TurnReplica turns;

	private final LedgerReplica replica;

	private final ListWatcher retirements;

	private final MetricRegistry metrics = new MetricRegistry();

	private final InvariantRegistry invariants = new InvariantRegistry();

	private final @Nullable ObservationServer observation;

	/**
	 * Creates a replica; {@link #start} starts it.
	 * @param settings settings of the process; its machine must have a disk
	 * @param metricsPort port on which metrics and state are shown, or 0
	 * @param events log of events
	 */
	public LedgerNode(ProcessSettings settings, int metricsPort, EventLog events) {
		this.settings = settings;
		this.events = events;
		Path folder = Objects.requireNonNull(settings.dataFolder(), "the settings have no folder for data");
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create();
		PlatformConnection platform = new PlatformConnection(settings, this.control, this.loops, random, events,
				Set.of(RetirementTranslator.KIND));
		this.transport = new TcpPeerTransport(settings.instance(),
				new PeerTransportSettings(settings.host(), settings.firstPort(), "",
						PeerTransportSettings.DEFAULT_MAX_QUEUED_FRAMES,
						PeerTransportSettings.DEFAULT_CONNECT_TIMEOUT_MS),
				new FrameCodec(new MessageTypes(messageTypes())), this.control, this::addressOf, this.loops);
		DiskBudget budget = diskBudget(settings);
		// Opened first: once the ledger's log exists, the disk no longer looks empty.
		this.turnLog = openTurnLog(folder, budget);
		this.log = open(folder.resolve(SUBFOLDER), budget);
		LedgerMember self = new LedgerMember(settings.instance(), settings.zone(), settings.host(),
				settings.firstPort());
		InstanceRegistry registry = new StoredInstanceRegistry(platform.store(), REGISTRY_KIND, events);
		this.turns = new TurnReplica(self, this.transport, this.members, this.turnLog, this.control, events,
				this.invariants);
		this.replica = new LedgerReplica(self, this.transport, registry, this.log, this.control, events,
				LedgerSettings.DEFAULT, this.members, this.turns);
		this.retirements = new ListWatcher(platform.store(), this.control, random, new StoreHealth(this.control),
				events, RetirementTranslator.KIND, settings.storeWaitMaxMs(), 0, new RetirementListener(
						settings.instance(), this.replica, registry, platform.store(), this.control, events));
		this.metrics.gauge("ledger.programs", () -> this.replica::programCount);
		this.metrics.gauge("ledger.members", () -> this.replica::memberCount);
		this.metrics.gauge("ledger.log.bytes", () -> this.log::sizeBytes);
		this.metrics.gauge("turns.count", () -> this.turns::turnCount);
		this.metrics.gauge("turns.bytes", () -> this.turns::contentBytes);
		this.metrics.gauge("turns.log.bytes", () -> this.turnLog::sizeBytes);
		this.metrics.gauge("turns.refused", () -> this.turns::refusedAppends);
		this.observation = (metricsPort > 0)
				? new ObservationServer(new InetSocketAddress(settings.host(), metricsPort), this.loops,
						this.replica::isServing, () -> MetricsText.of(this.metrics, this.invariants),
						() -> Mono.fromFuture(this.control.call(this::dump)))
				: null;
	}

	private String dump() {
		return "replica=" + this.settings.instance() + " serving=" + this.replica.isServing() + " members="
				+ this.members.all() + " programs=" + this.replica.programCount() + " logBytes=" + this.log.sizeBytes()
				+ " turns=" + this.turns.turnCount() + " turnsComplete=" + this.turns.isComplete() + " turnBytes="
				+ this.turns.contentBytes() + " turnLogBytes=" + this.turnLog.sizeBytes() + " refusedTurns="
				+ this.turns.refusedAppends();
	}

	private static List<Class<? extends PeerMessage>> messageTypes() {
		return Stream.concat(LedgerMessages.types().stream(), TurnMessages.types().stream()).toList();
	}

	private static DiskBudget diskBudget(ProcessSettings settings) {
		return new DiskBudget((settings.diskMb() > 0) ? settings.diskMb() * MEBIBYTE : DiskBudget.UNLIMITED);
	}

	private FileTurnLog openTurnLog(Path folder, DiskBudget budget) {
		Path turnFolder = folder.resolve(TURN_SUBFOLDER);
		boolean isDiskLost = !Files.exists(folder.resolve(SUBFOLDER).resolve(FileLedgerLog.NAME))
				&& !this.settings.isFirstStart();
		long leftBytes = Math.min(LEDGER_BYTES, budget.limitBytes() / 4);
		try {
			return new FileTurnLog(turnFolder, isDiskLost, this.control, System::currentTimeMillis,
					ChannelOpener.DEFAULT, budget, leftBytes);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the log of turns in " + turnFolder + " can't be opened", ex);
		}
	}

	private FileLedgerLog open(Path folder, DiskBudget budget) {
		try {
			return new FileLedgerLog(folder, this.control, System::currentTimeMillis, ChannelOpener.DEFAULT, budget);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the ledger's log in " + folder + " can't be opened", ex);
		}
	}

	/**
	 * Starts the replica.
	 */
	public void start() {
		this.transport.start();
		if (this.observation != null) {
			this.observation.start();
		}
		boolean isComplete = !this.log.isNew() || this.settings.isFirstStart();
		this.control.execute(() -> {
			this.turns.start(this.turnLog.recovered(), this.turnLog.isComplete());
			this.replica.start(this.log.recovered(), isComplete);
			this.retirements.start();
		});
	}

	/**
	 * Stops the replica. What it acknowledged is on its disk.
	 * @return {@code true}
	 */
	public boolean stop() {
		this.events.record("ledger.stopped", "replica", this.settings.instance());
		if (this.observation != null) {
			this.observation.stop();
		}
		this.transport.close();
		this.control.close();
		this.loops.dispose();
		return true;
	}

	private @Nullable InetSocketAddress addressOf(InstanceId id) {
		LedgerMember member = this.members.member(id);
		return (member != null) ? new InetSocketAddress(member.host(), member.port()) : null;
	}

}
