package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.conversation.ChainMemory;
import dev.nutmegdoor.core.conversation.ConversationClient;
import dev.nutmegdoor.core.conversation.ConversationDependencies;
import dev.nutmegdoor.core.conversation.TurnMessages;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.explain.DecisionLog;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.ledger.LedgerDependencies;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.ledger.LedgerMessages;
import dev.nutmegdoor.core.ledger.LedgerSettings;
import dev.nutmegdoor.core.ledger.TokenBudgets;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.membership.InstanceRegistry;
import dev.nutmegdoor.core.membership.StoredInstanceRegistry;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.placement.ColdReplicas;
import dev.nutmegdoor.core.placement.ColdStart;
import dev.nutmegdoor.core.placement.ColdTolerance;
import dev.nutmegdoor.core.placement.RateShares;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.placement.WorkTimes;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.core.reachability.DetourPeers;
import dev.nutmegdoor.core.reachability.DirectReachability;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.DeploymentAnswer;
import dev.nutmegdoor.core.route.DeploymentRequest;
import dev.nutmegdoor.core.route.EvacuatedZones;
import dev.nutmegdoor.core.route.EvacuationList;
import dev.nutmegdoor.core.route.ReplicaEntryListener;
import dev.nutmegdoor.core.route.ReplicaList;
import dev.nutmegdoor.core.route.RouteTable;
import dev.nutmegdoor.core.route.RoutedService;
import dev.nutmegdoor.core.schedule.Observers;
import dev.nutmegdoor.core.schedule.ProgramSchedulingInfoSource;
import dev.nutmegdoor.core.schedule.ScheduledCallRunner;
import dev.nutmegdoor.core.schedule.UpstreamClients;
import dev.nutmegdoor.core.store.ListWatcher;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.core.stream.StreamBegun;
import dev.nutmegdoor.core.stream.StreamOriginAnswer;
import dev.nutmegdoor.core.stream.StreamOriginQuery;
import dev.nutmegdoor.core.stream.StreamOrigins;
import dev.nutmegdoor.core.tunnel.TunnelMessages;
import dev.nutmegdoor.core.usage.EvacuationSharing;
import dev.nutmegdoor.core.usage.LocalUsageEndpoint;
import dev.nutmegdoor.core.usage.UsageDigest;
import dev.nutmegdoor.core.usage.UsageLimiter;
import dev.nutmegdoor.core.usage.UsagePeers;
import dev.nutmegdoor.core.usage.UsageReport;
import dev.nutmegdoor.core.usage.UsageSettings;
import dev.nutmegdoor.core.watch.SharedWatchSettings;
import dev.nutmegdoor.core.watch.SharedWatches;
import dev.nutmegdoor.core.watch.WatchMessages;
import dev.nutmegdoor.core.watch.WatchRole;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.entry.AuthenticationFilter;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.EntryDecisions;
import dev.nutmegdoor.node.entry.ErrorResponses;
import dev.nutmegdoor.node.entry.FilterChain;
import dev.nutmegdoor.node.entry.HttpResponses;
import dev.nutmegdoor.node.entry.RateFilter;
import dev.nutmegdoor.node.entry.RetryAfterStyle;
import dev.nutmegdoor.node.ledger.LedgerNode;
import dev.nutmegdoor.node.peer.PeerAddresses;
import dev.nutmegdoor.node.peer.PeerTransportSettings;
import dev.nutmegdoor.node.peer.TcpPeerTransport;
import dev.nutmegdoor.node.process.MetricsText;
import dev.nutmegdoor.node.process.ObservationServer;
import dev.nutmegdoor.node.process.PlatformConnection;
import dev.nutmegdoor.platform.ConfigurationDecoder;
import dev.nutmegdoor.platform.EvacuationTranslator;
import dev.nutmegdoor.platform.ProcessSettings;
import dev.nutmegdoor.platform.ReplicaDecoder;
import dev.nutmegdoor.platform.RequestTranslator;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.MessageTypes;

/**
 * An entry instance on the platform. It forwards requests of clients to replicas and
 * reads the configuration and the list of replicas from the platform's store.
 */
public final class GatewayNode {

	/** Kind of the objects in the store that list the entry instances. */
	private static final String REGISTRY_KIND = "gateways";

	private static final long REGISTRATION_RETRY_MS = 400;

	/**
	 * Time after the registration in milliseconds at which the other instances are listed
	 * again: all start at the same moment, and the first ones list only a few.
	 */
	private static final long SECOND_LIST_DELAY_MS = 4_000;

	/** Period of reading the list of ledger replicas until one is found. */
	private static final long LEDGER_LIST_PERIOD_MS = 1_000;

	/** Memory for decision records in bytes. */
	private static final long DECISION_LOG_BYTES = 2_000_000;

	/**
	 * Cost of using a replica in another availability zone in milliseconds. A round trip
	 * between zones takes 8 to 9 ms on the users' links; the remainder accounts for the
	 * price of traffic between zones and for the turns that are lost when a zone is
	 * partitioned.
	 */
	static final double ZONE_CROSSING_MS = 20;

	private static final long DRAIN_POLL_MS = 20;

	/**
	 * Maximum time to reach a replica through another instance in milliseconds: the time
	 * that the other instance has to connect, and two round trips between zones.
	 */
	private static final int TUNNEL_OPEN_TIMEOUT_MS = 300;

	private final ProcessSettings settings;

	private final EventLog events;

	private final MetricRegistry metrics = new MetricRegistry();

	private final InvariantRegistry invariants = new InvariantRegistry();

	private final ControlThread control = new ControlThread("control");

	private final LoopResources loops = LoopResources.create("traffic", 1, true);

	private final ObjectStore store;

	private final Deployment deployment;

	private final RequestQuarantine quarantine;

	private final UsagePeers peers;

	private final LedgerMembers ledgerMembers = new LedgerMembers();

	private final ConversationClient conversations;

	/**
	 * Whether the store's list of ledger replicas was read; used on the control thread.
	 */
	private boolean isMemberListRead;

	private final TcpPeerTransport transport;

	private final DeploymentExchange deploymentExchange;

	private final SharedWatches sharedWatches;

	private final ListWatcher configurationWatcher;

	private final ListWatcher replicaWatcher;

	private final @Nullable ListWatcher evacuationWatcher;

	private final ScheduledCallRunner runner;

	private final GatewayServer server;

	private final List<ObservationServer> observationServers;

	private final DirectReachability reachability;

	private final ReplicaTunnelServer tunnels;

	private boolean areGatewaysListed;

	private final DrainDeadline drainDeadline = new DrainDeadline(System::nanoTime);

	/**
	 * Creates an instance; {@link #start} binds its servers.
	 * @param settings settings of the process, with the addresses for clients, readiness
	 * checks and other processes
	 * @param metricsPort port that serves metrics and state in addition to the readiness
	 * address, or 0 for none
	 * @param events log of events
	 */
	public GatewayNode(ProcessSettings settings, int metricsPort, EventLog events) {
		this.settings = settings;
		this.events = events;
		InetSocketAddress clientAddress = Objects.requireNonNull(settings.front(),
				"the gateway requires an address for clients, but the settings have none");
		InetSocketAddress readinessAddress = Objects.requireNonNull(settings.readiness(),
				"the gateway requires an address for readiness checks, but the settings have none");
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create();
		this.store = new PlatformConnection(settings, this.control, this.loops, random, events,
				Set.of(ConfigurationDecoder.KIND, EvacuationTranslator.KIND))
			.store();
		this.deployment = new Deployment(this.invariants, events);
		this.quarantine = new RequestQuarantine(this.control, events);
		StoreHealth health = new StoreHealth(this.control);
		ConfigurationListener configurations = new ConfigurationListener(this.deployment, new ConfigurationDecoder(),
				events);
		this.peers = new UsagePeers(settings.instance());
		RateShares rateShares = new RateShares(settings.instance(), this.peers::instanceIds,
				() -> this.areGatewaysListed);
		ReplicaIndex index = new ReplicaIndex(settings.zone(), ZONE_CROSSING_MS, GatewaySettings.COSTS, this.control,
				random, events, rateShares);
		if (settings.isCapacityScarce()) {
			index.learnAllWorkTimes();
		}
		WorkTimes workTimes = index.workTimes();
		this.metrics.gauge("placement.workTime.statements", () -> workTimes::statements);
		this.metrics.gauge("placement.workTime.slowStatements", () -> workTimes::slowStatements);
		this.metrics.gauge("placement.workTime.speedSamples", () -> workTimes::samples);
		ReplicaList replicas = new ReplicaList(this.deployment, this.control, events, new ReplicaDecoder()::decode,
				health, index::resetReplica, limitColdReplicas(index, rateShares));
		DecisionIds decisionIds = new DecisionIds(settings.instance());
		DecisionLog decisions = new DecisionLog(decisionIds, DECISION_LOG_BYTES);
		this.runner = new ScheduledCallRunner(GatewaySettings.SCHEDULE, GatewaySettings.COSTS, index, this.control,
				this.deployment, UpstreamClients.RELAY_ONLY, ProgramSchedulingInfoSource.NONE,
				new Observers(decisions, this.invariants, StepListener.NONE));
		InetSocketAddress peerAddress = Objects.requireNonNull(settings.control(),
				"the gateway requires an address for other processes, but the settings have none");
		FrameCodec codec = new FrameCodec(new MessageTypes(messageTypes()));
		PeerTransportSettings peerSettings = new PeerTransportSettings(peerAddress.getHostString(),
				peerAddress.getPort(), "", PeerTransportSettings.DEFAULT_MAX_QUEUED_FRAMES,
				PeerTransportSettings.DEFAULT_CONNECT_TIMEOUT_MS);
		this.transport = new TcpPeerTransport(settings.instance(), peerSettings, codec, this.control,
				new KnownAddresses(), this.loops);
		this.tunnels = new ReplicaTunnelServer((id) -> this.deployment.current().upstreams().get(id), this.loops, codec,
				this::isTunnelAvailable, events);
		this.transport.acceptTunnels(this.tunnels);
		this.sharedWatches = new SharedWatches(this.transport,
				new DirectoryEntry(settings.instance(), settings.zone(), peerAddress.getHostString(),
						peerAddress.getPort(), false),
				this.peers::entries, (subscriber) -> this.peers.addListed(List.of(subscriber)), this.control, random,
				health, events, SharedWatchSettings.forBound(Math.min(settings.drainMs(), settings.configurationMs())));
		this.configurationWatcher = new ListWatcher(this.store, this.control, random, health, events,
				ConfigurationDecoder.KIND, settings.storeWaitMaxMs(), 0, configurations, this.sharedWatches);
		this.replicaWatcher = new ListWatcher(this.store, this.control, random, health, events, ReplicaDecoder.KIND,
				settings.storeWaitMaxMs(),
				ReplicaList.collectionDelayMs(settings.drainMs(), PlatformConnection.REQUEST_TIMEOUT_MS), replicas,
				this.sharedWatches);
		this.sharedWatches.add(this.configurationWatcher);
		this.sharedWatches.add(this.replicaWatcher);
		this.evacuationWatcher = (settings.evacuationMs() != null) ? followEvacuations(random, settings.evacuationMs())
				: null;
		for (WatchRole role : WatchRole.values()) {
			this.metrics.gauge("watch.role{role=\"" + role + "\"}",
					() -> () -> (this.sharedWatches.role() == role) ? 1 : 0);
		}
		this.metrics.gauge("watch.age.ms", () -> this.sharedWatches::ageMs);
		this.metrics.gauge("watch.verifiedAge.ms", () -> this.sharedWatches::verifiedAgeMs);
		this.metrics.gauge("watch.fallbacks", () -> this.sharedWatches::fallbacks);
		this.deploymentExchange = new DeploymentExchange(this.transport, this.deployment, this.ledgerMembers,
				configurations, this.control, events, settings.seeds(), peerAddress);
		String incarnation = settings.instance() + "~" + Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
		UsageLimiter limiter = new UsageLimiter(this.transport, this.peers, this.deployment, this.control, random,
				events, UsageSettings.DEFAULT,
				new LocalUsageEndpoint(incarnation, settings.zone(), peerAddress.getHostString(),
						peerAddress.getPort()),
				settings.isFirstStart(), new IndexLoadSharing(index), this.quarantine, (settings.evacuationMs() != null)
						? new DeploymentEvacuationSharing(this.deployment) : EvacuationSharing.NONE);
		TokenBudgets budgets = new TokenBudgets(new LedgerDependencies(this.transport, this.ledgerMembers,
				() -> this.peers.reachable(settings.zone(), this.control.nowMs(), UsageSettings.DEFAULT), this.control,
				this.invariants, events, LedgerSettings.DEFAULT), incarnation);
		EventLoop eventLoop = this.loops.onServer(false).next();
		RequestTranslator translator = new RequestTranslator();
		this.reachability = new DirectReachability(events);
		ReplicaTunnelClient tunnelClient = new ReplicaTunnelClient(settings.instance(), peerSettings.sharedSecret(),
				codec, this.loops, (peer) -> true, TUNNEL_OPEN_TIMEOUT_MS);
		Detours detours = new Detours(new Gateways(this.peers, settings.zone()),
				new DetourPeers(RandomSource.XO_SHI_RO_256_PP.create()), tunnelClient, eventLoop, this.control::nowMs);
		ReplicaConnector connector = new ReplicaConnector(this.loops, this.reachability, detours, this.control::nowMs,
				this.metrics);
		UpstreamPool pool = new UpstreamPool(connector, this.reachability, this.control::nowMs, eventLoop, translator,
				this.metrics, events, new IdleConnectionLimit(this.deployment, this.peers::instances)::limitFor,
				() -> this.deployment.current().upstreams().values());
		ControlBridge controlBridge = new ControlBridge(this.control);
		EntryDecisions entryDecisions = new EntryDecisions(decisions, this.control);
		ChainMemory chainMemory = new ChainMemory(ChainMemory.DEFAULT_BYTES);
		this.conversations = new ConversationClient(
				new ConversationDependencies(this.transport, this.ledgerMembers, this.control, this.invariants, events,
						settings.zone(), settings.tolerance(), () -> this.isMemberListRead),
				chainMemory);
		this.metrics.gauge("turns.chains.bytes", () -> chainMemory::usedBytes);
		RelayRoute relayRoute = new RelayRoute(this.runner, pool, controlBridge, RandomSource.XO_SHI_RO_256_PP.create(),
				events, this.quarantine,
				new StreamOrigins(this.transport, this.peers::instanceIds, this.deployment, this.replicaWatcher,
						this.control, events),
				this.drainDeadline, replicas, new RetainedTurns(this.conversations, chainMemory, controlBridge,
						eventLoop, this.metrics, events, () -> !this.ledgerMembers.all().isEmpty()),
				this.deployment::isEvacuated);
		FilterChain filterChain = new FilterChain(List.of(new RouteFilter(this.deployment, translator),
				new AuthenticationFilter(new RoutedKeyAuthenticator(this.deployment)),
				new BudgetFilter(budgets, controlBridge, events),
				new RateFilter(limiter, controlBridge, entryDecisions)), List.of(relayRoute));
		ErrorResponses errorResponses = new ErrorResponses(
				new HttpResponses(this.deployment, RetryAfterStyle.FRACTIONS), entryDecisions, this.metrics, events);
		this.server = new GatewayServer(clientAddress, this.loops, filterChain, errorResponses, decisionIds,
				controlBridge, this.metrics, this.deployment::limits, this.drainDeadline, events);
		List<InetSocketAddress> observationAddresses = (metricsPort > 0)
				? List.of(readinessAddress, new InetSocketAddress(settings.host(), metricsPort))
				: List.of(readinessAddress);
		this.observationServers = observationAddresses.stream()
			.map((address) -> new ObservationServer(address, this.loops, this::isReady,
					() -> MetricsText.of(this.metrics, this.invariants), this::dump))
			.toList();
	}

	/**
	 * Binds the servers and starts to watch the platform's store.
	 */
	public void start() {
		this.observationServers.forEach(ObservationServer::start);
		InetSocketAddress address = this.server.start();
		this.transport.start();
		this.control.execute(() -> {
			this.configurationWatcher.start();
			this.replicaWatcher.start();
			if (this.evacuationWatcher != null) {
				this.evacuationWatcher.start();
			}
			this.deploymentExchange.start();
			register(new StoredInstanceRegistry(this.store, REGISTRY_KIND, this.events));
			listLedgerReplicas(new StoredInstanceRegistry(this.store, LedgerNode.REGISTRY_KIND, this.events));
		});
		this.events.record("gateway.started", "instance", this.settings.instance(), "zone", this.settings.zone(),
				"address", address.getHostString() + ":" + address.getPort(), "firstStart",
				this.settings.isFirstStart());
	}

	/**
	 * Stops gracefully. Reports not ready and closes each connection after its next
	 * response. Once the platform has noticed, closes idle connections and rejects
	 * requests that may not end in time. Blocks until all requests have ended or been
	 * interrupted, which is before the end of the grace period of the settings.
	 * @return {@code true} if no request was interrupted
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean drain() throws InterruptedException {
		this.drainDeadline.start(this.settings.graceMs());
		this.events.record("gateway.draining", "instance", this.settings.instance(), "running",
				this.server.runningRequests());
		Thread.sleep(Math.min(GatewaySettings.DRAIN_NOTICE_MS, this.drainDeadline.remainingMs()));
		this.server.stopAccepting();
		while ((this.server.openConnections() > 0 || this.tunnels.openTunnels() > 0)
				&& this.drainDeadline.remainingMs() > 0) {
			// Includes those of responses that began before the stop and end only now.
			this.server.closeIdleConnections();
			Thread.sleep(DRAIN_POLL_MS);
		}
		int interruptedRequests = this.server.runningRequests();
		this.events.record("gateway.stopped", "instance", this.settings.instance(), "interrupted", interruptedRequests,
				"connections", this.server.openConnections());
		interruptRequests();
		stop();
		return interruptedRequests == 0;
	}

	private void interruptRequests() throws InterruptedException {
		this.server.interruptRequests();
		long deadlineNs = System.nanoTime() + Duration.ofMillis(GatewaySettings.ANSWER_MARGIN_MS).toNanos();
		while (this.server.runningRequests() > 0 && System.nanoTime() < deadlineNs) {
			Thread.sleep(DRAIN_POLL_MS);
		}
	}

	/**
	 * Stops immediately and closes all connections.
	 */
	public void stop() {
		this.server.stop();
		this.observationServers.forEach(ObservationServer::stop);
		this.transport.close();
		this.control.close();
		this.loops.dispose();
	}

	private ReplicaEntryListener limitColdReplicas(ReplicaIndex index, RateShares rateShares) {
		ColdTolerance tolerance = this.settings.coldTolerance();
		if (tolerance == null) {
			return (replica, isStarted) -> {
			};
		}
		ColdReplicas rules = new ColdReplicas(rateShares, tolerance, this::coldStart, this.control, this.events);
		index.limitCold(rules);
		this.metrics.gauge("replicas.cold.delays", () -> rules::delayedSelections);
		return (replica, isStarted) -> rules.listed(replica.upstream().id(), isStarted, replica.sequence(),
				replica.coldLeftMs());
	}

	private @Nullable ColdStart coldStart(String service) {
		RouteTable routes = this.deployment.routes();
		RoutedService routedService = (routes != null) ? routes.service(service) : null;
		return (routedService != null) ? routedService.coldStart() : null;
	}

	private ListWatcher followEvacuations(UniformRandomProvider random, long evacuationMs) {
		EvacuationList evacuations = new EvacuationList(this.deployment, this.control, this.events,
				() -> (this.evacuationWatcher != null) ? this.evacuationWatcher.revision() : 0);
		evacuations.awaitFirst(evacuationMs);
		this.metrics.gauge("zones.evacuated", () -> () -> {
			EvacuatedZones zones = this.deployment.confirmedEvacuations();
			return (zones != null) ? zones.zones().size() : 0;
		});
		return new ListWatcher(this.store, this.control, random, new StoreHealth(this.control), this.events,
				EvacuationTranslator.KIND, this.settings.storeWaitMaxMs(), 0, evacuations);
	}

	private void register(InstanceRegistry registry) {
		InetSocketAddress peerAddress = Objects.requireNonNull(this.settings.control());
		registry
			.register(new DirectoryEntry(this.settings.instance(), this.settings.zone(), peerAddress.getHostString(),
					peerAddress.getPort(), false))
			.thenCompose((registered) -> registry.list())
			.whenComplete((entries, error) -> {
				if (error != null) {
					this.control.schedule(REGISTRATION_RETRY_MS, () -> register(registry));
					return;
				}
				this.peers.addListed(entries);
				// At the first start of all, the others may register after this list.
				this.areGatewaysListed = !this.settings.isFirstStart();
				this.control.schedule(SECOND_LIST_DELAY_MS, () -> listAgain(registry));
			});
	}

	private void listAgain(InstanceRegistry registry) {
		registry.list().whenComplete((entries, error) -> {
			if (error != null) {
				this.events.record("gateways.unlisted", "error", String.valueOf(error.getMessage()));
				this.control.schedule(SECOND_LIST_DELAY_MS, () -> listAgain(registry));
				return;
			}
			this.peers.addListed(entries);
			this.areGatewaysListed = true;
		});
	}

	// The replicas themselves report later changes.
	private void listLedgerReplicas(InstanceRegistry registry) {
		registry.list().whenComplete((entries, error) -> {
			if (error == null) {
				entries.forEach((entry) -> this.ledgerMembers.add(LedgerMember.of(entry)));
				this.isMemberListRead = !entries.isEmpty();
			}
			if (this.ledgerMembers.all().isEmpty()) {
				this.control.schedule(LEDGER_LIST_PERIOD_MS, () -> listLedgerReplicas(registry));
			}
		});
	}

	static List<Class<? extends PeerMessage>> messageTypes() {
		List<Class<? extends PeerMessage>> types = new ArrayList<>(LedgerMessages.types());
		types.addAll(TunnelMessages.types());
		types.addAll(TurnMessages.types());
		types.addAll(WatchMessages.types());
		types.addAll(List.of(UsageReport.class, UsageDigest.class, DeploymentRequest.class, DeploymentAnswer.class,
				StreamBegun.class, StreamOriginQuery.class, StreamOriginAnswer.class));
		return types;
	}

	private boolean isReady() {
		return !this.drainDeadline.isStarted() && this.deploymentExchange.isComplete();
	}

	private boolean isTunnelAvailable() {
		return !this.drainDeadline.isStarted() && !this.reachability.isIsolated();
	}

	private Mono<String> dump() {
		return Mono.fromFuture(this.control.call(() -> "instance=" + this.settings.instance() + " leaving="
				+ this.drainDeadline.isStarted() + " configuration=" + this.deployment.current().version()
				+ " replicas=" + this.deployment.current().upstreams().size() + " evacuated="
				+ this.deployment.dumpEvacuations() + " gateways=" + this.peers.instances() + " reachesReplicas="
				+ !this.reachability.isIsolated() + " tunnels=" + this.tunnels.openTunnels() + " ledgerReplicas="
				+ this.ledgerMembers.all().size() + " conversations=" + this.conversations.dump() + " quarantined="
				+ this.quarantine.dump() + " watches=" + this.sharedWatches.dump() + " runner=" + this.runner.dump()
				+ " violations=" + this.invariants.violations()));
	}

	/**
	 * Addresses of other gateways, replicas of the ledger and seeds.
	 */
	private final class KnownAddresses implements PeerAddresses {

		@Override
		public @Nullable InetSocketAddress addressOf(InstanceId id) {
			LedgerMember ledgerReplica = GatewayNode.this.ledgerMembers.member(id);
			if (ledgerReplica != null) {
				return new InetSocketAddress(ledgerReplica.host(), ledgerReplica.port());
			}
			DirectoryEntry peer = GatewayNode.this.peers.entry(id);
			return (peer != null) ? new InetSocketAddress(peer.host(), peer.port())
					: GatewayNode.this.deploymentExchange.addressOf(id);
		}

		@Override
		public boolean isIdentityKnown(InstanceId id) {
			return GatewayNode.this.deploymentExchange.addressOf(id) == null;
		}

	}

}
