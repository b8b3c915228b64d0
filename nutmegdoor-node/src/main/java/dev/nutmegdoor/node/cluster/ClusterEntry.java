package dev.nutmegdoor.node.cluster;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.ForwardedCalls;
import dev.nutmegdoor.core.call.RoutingCallRunner;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationChangeResult;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.explain.DecisionLog;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.key.WithdrawalResult;
import dev.nutmegdoor.core.lease.LeaseState;
import dev.nutmegdoor.core.placement.BlockPromptHasher;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.program.ProgramDependencies;
import dev.nutmegdoor.core.program.ProgramHomes;
import dev.nutmegdoor.core.program.ProgramSettings;
import dev.nutmegdoor.core.program.Safeguards;
import dev.nutmegdoor.core.schedule.Observers;
import dev.nutmegdoor.core.schedule.ProgramSchedulingInfoSource;
import dev.nutmegdoor.core.schedule.ScheduleSettings;
import dev.nutmegdoor.core.schedule.ScheduledCallRunner;
import dev.nutmegdoor.core.schedule.UpstreamClients;
import dev.nutmegdoor.node.EntryNode;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.entry.EntryDependencies;
import dev.nutmegdoor.node.settings.ClusterSettings;
import dev.nutmegdoor.node.settings.EntrySettings;
import dev.nutmegdoor.node.upstream.HttpEngineClient;
import dev.nutmegdoor.node.upstream.HttpServiceClient;
import dev.nutmegdoor.node.upstream.KeyScanner;
import dev.nutmegdoor.node.upstream.OutboundRequestCheck;
import dev.nutmegdoor.node.upstream.ReportPoller;
import dev.nutmegdoor.node.upstream.UpstreamHttp;

/**
 * Composes an entry instance that shares its state with the other instances of its
 * deployment.
 */
public final class ClusterEntry {

	/** Maximum wait for the shared state at startup; the platform may be slow. */
	private static final long START_TIMEOUT_MS = 60_000;

	private static final long POLL_PERIOD_MS = 100;

	private static final long MAX_SEED_DELAY_MS = 3_000;

	/**
	 * Additional cost of a call to another zone: each way counts twice the distance
	 * between zones.
	 */
	private static final double ZONE_CROSSING_MS = 10;

	private final ControlThread control;

	private final SharedState sharedState;

	private final ClusterSettings settings;

	private final EntrySettings entrySettings;

	private final InvariantRegistry invariants;

	private final EventLog events;

	private final UpstreamHttp http;

	private final ReplicaIndex replicaIndex;

	private final ProgramHomes homes;

	private final ScheduledCallRunner scheduler;

	private final DecisionLog decisions;

	private final EntryNode node;

	private final ReportPoller reportPoller;

	private final OperatorApi operatorApi;

	private @Nullable InetSocketAddress address;

	/**
	 * Composes an instance; it does nothing until {@link #start()}.
	 * @param entrySettings settings of the instance
	 * @param settings settings of the peer connections, the platform and the operator API
	 * @param invariants counts checks and violations
	 * @param events receives the events of all components
	 * @param onFenced called on the control thread when another instance has taken over
	 * the partitions and limits of this one; the process must restart to get a new
	 * identity
	 */
	public ClusterEntry(EntrySettings entrySettings, ClusterSettings settings, InvariantRegistry invariants,
			EventLog events, Runnable onFenced) {
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create();
		// A restarted process must not be taken for its predecessor, whose partitions and
		// leases it does not own, so each run gets an identifier of its own.
		InstanceId self = new InstanceId(
				entrySettings.instance().value() + "~" + Long.toString(random.nextLong(1L << 40), 36));
		this.entrySettings = entrySettings.withInstance(self);
		this.settings = settings;
		this.invariants = invariants;
		this.events = events;
		this.control = new ControlThread("control-" + self);
		this.sharedState = new SharedState(self, entrySettings.availabilityZone(), settings, this.control, random,
				invariants, events);
		DecisionIds decisionIds = new DecisionIds(self);
		this.decisions = new DecisionLog(decisionIds, settings.decisionLogBytes());
		KeyScanner keyScanner = new KeyScanner(this.sharedState.keys());
		this.http = new UpstreamHttp(this.control, entrySettings.maxConnectionsPerUpstream(),
				entrySettings.timeouts().connectMs(), entrySettings.limits().maxStreamBytes());
		OutboundRequestCheck outboundCheck = new OutboundRequestCheck(keyScanner, this.sharedState.configuration(),
				invariants, this.control);
		HttpEngineClient engines = new HttpEngineClient(this.http, outboundCheck, entrySettings.timeouts().callMs());
		HttpServiceClient services = new HttpServiceClient(this.http, outboundCheck);
		ProgramDependencies programDependencies = new ProgramDependencies(this.control, this.sharedState.peers(),
				this.sharedState.store(), this.sharedState.membership(), this.sharedState.lease(),
				this.sharedState.configuration(), random, invariants, StepListener.NONE, events, this.decisions,
				ProgramSettings.defaults(settings.availabilityZones())
					.withPartitionsPerZone(settings.partitionsPerZone()));
		this.homes = new ProgramHomes(programDependencies, engines, services, Safeguards.ALL);
		this.replicaIndex = new ReplicaIndex(entrySettings.availabilityZone(), ZONE_CROSSING_MS, PlacementCosts.DEFAULT,
				this.control, random, events);
		this.scheduler = new ScheduledCallRunner(ScheduleSettings.DEFAULT, PlacementCosts.DEFAULT, this.replicaIndex,
				this.control, this.sharedState.configuration(),
				new UpstreamClients(this.homes.engineClient(), services, new BlockPromptHasher()),
				ProgramSchedulingInfoSource.NONE, new Observers(this.decisions, invariants, StepListener.NONE));
		this.homes.setNextLayer(this.scheduler);
		RoutingCallRunner routing = new RoutingCallRunner(programDependencies, this.homes);
		new ForwardedCalls(programDependencies, this.homes);
		MetricRegistry metrics = new MetricRegistry();
		this.node = new EntryNode(this.entrySettings,
				new EntryDependencies(this.control, this.sharedState.configuration(), this.sharedState.keys(),
						keyScanner, this.sharedState.limits(), routing, new ClusterPrograms(routing), decisionIds,
						this.decisions, invariants, metrics, events),
				this::handOver, this::close);
		this.reportPoller = new ReportPoller(this.http, this.sharedState.configuration(),
				new ReportForwarder(this.scheduler), this.replicaIndex::lastEventSequence);
		this.operatorApi = new OperatorApi(this, settings, this.sharedState, this.control, this.decisions, metrics);
		this.sharedState.lease().subscribe((state) -> {
			if (state == LeaseState.FENCED) {
				events.record("entry.fenced", "instance", self);
				onFenced.run();
			}
		});
		this.sharedState.membership().register(new PeerLoads(this.replicaIndex, this.control));
		this.sharedState.membership().subscribe((member) -> this.replicaIndex.setInstances(routableInstances()));
	}

	/**
	 * Joins the deployment, loads the shared state and starts accepting requests. Blocks
	 * until the server is bound.
	 * @throws InterruptedException if the thread is interrupted
	 * @throws IllegalStateException if the shared state cannot be loaded within 60
	 * seconds
	 */
	public void start() throws InterruptedException {
		CompletableFuture<Void> started = new CompletableFuture<>();
		this.control.execute(() -> this.sharedState.start().whenComplete((ignored, error) -> {
			if (error != null) {
				started.completeExceptionally(error);
				return;
			}
			scheduleSeed();
			this.reportPoller.start(this.control, this.settings.reportPeriodMs());
			completeOnceConfigured(started);
		}));
		try {
			started.get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException(
					"instance " + this.entrySettings.instance() + " failed to load the shared state", ex);
		}
		this.operatorApi.start();
		this.address = this.node.start();
	}

	/**
	 * Returns the address on which clients connect.
	 * @return the bound address
	 * @throws IllegalStateException if the instance has not started
	 */
	public InetSocketAddress address() {
		InetSocketAddress bound = this.address;
		if (bound == null) {
			throw new IllegalStateException("instance " + this.entrySettings.instance() + " has not started");
		}
		return bound;
	}

	/**
	 * Waits until this instance has received the owner of every partition and has applied
	 * a configuration version.
	 * @param zones number of zones of the deployment
	 * @param timeoutMs maximum wait in milliseconds
	 * @return completes on the control thread; fails with {@link IllegalStateException}
	 * after the timeout
	 */
	public CompletableFuture<Void> awaitHomes(int zones, long timeoutMs) {
		CompletableFuture<Void> result = new CompletableFuture<>();
		this.control.execute(() -> pollHomes(zones, this.control.nowMs() + timeoutMs, result));
		return result;
	}

	public EntryNode node() {
		return this.node;
	}

	public int operatorPort() {
		return this.operatorApi.port();
	}

	/**
	 * Commits a configuration as the next version.
	 * @param configuration items to set; items that it does not contain are kept
	 * @param author operator to record with the change
	 * @return the outcome, which may also be a conflict or a validation error
	 */
	public CompletableFuture<ConfigurationChangeResult> apply(Configuration configuration, String author) {
		ConfigurationChange change = new ConfigurationChange(author, "whole configuration", null,
				ConfigurationEdits.of(configuration));
		return this.control.call(() -> this.sharedState.configuration().change(change)).thenCompose((future) -> future);
	}

	/**
	 * Withdraws a key on all instances.
	 * @param key identifier of the key
	 * @param author operator to record with the withdrawal
	 * @return the zones that have confirmed the withdrawal
	 */
	public CompletableFuture<WithdrawalResult> withdraw(KeyId key, String author) {
		return this.control.call(() -> this.sharedState.keys().withdraw(key, author, "operator request"))
			.thenCompose((future) -> future);
	}

	/**
	 * Announces that this instance is leaving, waits for its running requests, hands over
	 * its partitions and limits and stops it. Blocks until the instance has stopped.
	 * @return {@code true} if no request was interrupted
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean drain() throws InterruptedException {
		this.control.execute(this.sharedState::leave);
		return this.node.drain();
	}

	/**
	 * Drains and stops the instance on a background thread.
	 */
	void startDrain() {
		Thread thread = new Thread(() -> {
			try {
				drain();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}, "drain-" + this.entrySettings.instance());
		thread.start();
	}

	ProgramHomes homes() {
		return this.homes;
	}

	/**
	 * Returns the sections of the state dump.
	 * @return suppliers of the state by name of the section
	 */
	Map<String, Supplier<?>> dumpSections() {
		return Map.ofEntries(Map.entry("membership", this.sharedState.membership()::dump),
				Map.entry("lease", this.sharedState.lease()::dump),
				Map.entry("limits", this.sharedState.limits()::dump),
				Map.entry("configuration", this.sharedState.configuration()::dump),
				Map.entry("keys", this.sharedState.keys()::dump), Map.entry("programs", this.homes::dump),
				Map.entry("queues", this.scheduler::dump), Map.entry("platform", this.sharedState.store()::dump),
				Map.entry("peers", this.sharedState.peers()::traffic), Map.entry("decisions", this.decisions::dump),
				Map.entry("invariants", () -> InvariantDump.of(this.invariants)));
	}

	private void completeOnceConfigured(CompletableFuture<Void> started) {
		// In a new deployment with a configuration file the first version is committed
		// shortly after the start. Before that every key would be rejected as unknown.
		boolean isSeedExpected = !this.entrySettings.configuration().workspaces().isEmpty();
		if (this.sharedState.configuration().version() > 0 || !isSeedExpected) {
			started.complete(null);
		}
		else {
			this.control.schedule(POLL_PERIOD_MS, () -> completeOnceConfigured(started));
		}
	}

	private void scheduleSeed() {
		// All instances of a new deployment may start concurrently. If each wrote the
		// first version, its shards would exhaust the call budgets that leases and
		// partitions need. The random part of the identifier spreads the attempts over
		// time.
		ConfigurationSeed seed = new ConfigurationSeed(this.entrySettings.configuration(), this.events);
		long delayMs = Math.floorMod(this.entrySettings.instance().hashCode(), MAX_SEED_DELAY_MS);
		this.control.schedule(delayMs, () -> seed.commitIfEmpty(this.sharedState.configuration()));
	}

	private void pollHomes(int zones, long deadlineMs, CompletableFuture<Void> result) {
		int expectedPartitions = zones * this.settings.partitionsPerZone();
		int ownedPartitions = this.homes.controller().table().names().size();
		if (ownedPartitions >= expectedPartitions && this.sharedState.configuration().version() > 0) {
			result.complete(null);
		}
		else if (this.control.nowMs() > deadlineMs) {
			result.completeExceptionally(new IllegalStateException("only " + ownedPartitions + " of "
					+ expectedPartitions + " partitions have an owner, configuration version is "
					+ this.sharedState.configuration().version()));
		}
		else {
			this.control.schedule(POLL_PERIOD_MS, () -> pollHomes(zones, deadlineMs, result));
		}
	}

	private int routableInstances() {
		return (int) this.sharedState.membership()
			.members()
			.stream()
			.filter((member) -> member.state().isRoutable())
			.count();
	}

	private CompletableFuture<Void> handOver() {
		return this.homes.controller()
			.drain()
			.thenCompose((ignored) -> this.sharedState.limits().drain())
			.thenCompose((ignored) -> this.sharedState.unregister());
	}

	private void close() {
		this.operatorApi.close();
		this.http.close();
		this.sharedState.close();
		this.control.close();
	}

	// Names of the sections of the state dump in the order of output.
	static List<String> dumpSectionOrder() {
		return List.of("membership", "lease", "limits", "configuration", "keys", "programs", "queues", "platform",
				"peers", "decisions", "invariants");
	}

}
