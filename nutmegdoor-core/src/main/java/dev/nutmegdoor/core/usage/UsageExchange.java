package dev.nutmegdoor.core.usage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.placement.ObservedLoad;
import dev.nutmegdoor.core.placement.ObservedLoads;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.core.quarantine.SuspectRequest;
import dev.nutmegdoor.core.route.EvacuatedZones;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Tells the other instances what this one has admitted and receives what they have: each
 * from each other in small deployments, through {@link UsageRelays} in large ones. Runs
 * on the control thread.
 */
final class UsageExchange {

	/** Change of the reachable fraction from which it is logged. */
	private static final double LOGGED_CHANGE = 0.01;

	private final PeerTransport transport;

	private final UsagePeers peers;

	private final TimerService timer;

	private final EventLog eventLog;

	private final UsageSettings settings;

	private final LocalUsageEndpoint endpoint;

	private final boolean isFirstStart;

	private final UsageListener listener;

	private final LoadSharing loadSharing;

	private final RequestQuarantine quarantine;

	private final EvacuationSharing evacuationSharing;

	private final UsageRelays relays;

	private final long startedMs;

	private final Map<String, Long> admittedTotals = new HashMap<>();

	private final Set<String> unreportedWorkspaces = new HashSet<>();

	private final ObservedLoads unreportedLoads = new ObservedLoads();

	private boolean isFirstReportSent;

	private boolean isUrgent;

	private long lastReportMs = Long.MIN_VALUE / 2;

	private double lastLoggedFraction = 1;

	/**
	 * Creates an exchange and subscribes it to messages of other instances.
	 * @param transport sends reports and receives those of other instances
	 * @param peers tracks which other instances are reachable; updated by the exchange
	 * @param timer clock
	 * @param eventLog receives changes of the reachable fraction
	 * @param settings periods and timeouts of the reports
	 * @param endpoint run, zone and address of this instance
	 * @param isFirstStart whether the entire system starts for the first time
	 * @param listener receives admissions of other instances
	 * @param loadSharing supplies and receives loads of replicas
	 * @param quarantine supplies and receives requests that replicas had when they
	 * crashed
	 * @param evacuationSharing supplies and receives evacuated zones
	 */
	UsageExchange(PeerTransport transport, UsagePeers peers, TimerService timer, EventLog eventLog,
			UsageSettings settings, LocalUsageEndpoint endpoint, boolean isFirstStart, UsageListener listener,
			LoadSharing loadSharing, RequestQuarantine quarantine, EvacuationSharing evacuationSharing) {
		this.transport = transport;
		this.peers = peers;
		this.timer = timer;
		this.eventLog = eventLog;
		this.settings = settings;
		this.endpoint = endpoint;
		this.isFirstStart = isFirstStart;
		this.listener = listener;
		this.loadSharing = loadSharing;
		this.quarantine = quarantine;
		this.evacuationSharing = evacuationSharing;
		this.startedMs = timer.nowMs();
		this.relays = new UsageRelays(transport, peers, settings, endpoint, this.startedMs, isFirstStart);
		transport.subscribe(UsageReport.class, (from, report) -> {
			receive(from, report);
			return null;
		});
		transport.subscribe(UsageDigest.class, (from, digest) -> {
			receive(from, digest);
			return null;
		});
	}

	/**
	 * Counts a request that this instance has admitted.
	 * @param workspace workspace of the request
	 */
	void admitted(WorkspaceId workspace) {
		this.admittedTotals.merge(workspace.value(), 1L, Long::sum);
		this.unreportedWorkspaces.add(workspace.value());
	}

	/**
	 * Returns the fraction of the instances that can be reached, this one included.
	 * @return above 0 and at most 1
	 */
	double reachableFraction() {
		long nowMs = this.timer.nowMs();
		if (!this.relays.areInUse()) {
			return this.peers.reachableFraction(nowMs, this.settings);
		}
		return Math.min(1, (double) this.relays.reachableInstances(nowMs) / this.relays.knownInstances(nowMs));
	}

	int knownInstances() {
		long nowMs = this.timer.nowMs();
		return this.relays.areInUse() ? this.relays.knownInstances(nowMs)
				: this.peers.knownInstanceCount(nowMs, this.settings);
	}

	/**
	 * Sends what is due. Must be called at least every
	 * {@link UsageSettings#reportPeriodMs()}.
	 */
	void sendIfDue() {
		long nowMs = this.timer.nowMs();
		logReachableFraction();
		for (String workspace : this.unreportedWorkspaces) {
			this.isUrgent |= this.listener.isLow(new WorkspaceId(workspace));
		}
		List<SuspectRequest> suspects = this.quarantine.takeDue();
		this.isUrgent |= !suspects.isEmpty();
		sendReportIfDue(suspects, nowMs);
		if (this.relays.areInUse()) {
			this.relays.sendDigestsIfDue(this.isUrgent, suspects, this.evacuationSharing.confirmed(), nowMs);
		}
		this.isUrgent = false;
	}

	private void logReachableFraction() {
		double fraction = reachableFraction();
		if (Math.abs(fraction - this.lastLoggedFraction) > LOGGED_CHANGE) {
			this.eventLog.record("usage.share", "share", fraction, "before", this.lastLoggedFraction, "known",
					knownInstances());
			this.lastLoggedFraction = fraction;
		}
	}

	private void sendReportIfDue(List<SuspectRequest> suspects, long nowMs) {
		List<ObservedLoad> observedLoads = this.loadSharing.takeObservedLoads();
		// In a small deployment each instance sees enough responses of its own.
		if (this.relays.areInUse()) {
			this.unreportedLoads.add(observedLoads, nowMs);
		}
		boolean isChanged = !this.unreportedWorkspaces.isEmpty() || !this.unreportedLoads.isEmpty()
				|| !suspects.isEmpty() || !this.isFirstReportSent;
		long periodMs = isChanged ? (this.isUrgent ? 0 : this.settings.calmPeriodMs()) : this.settings.quietPeriodMs();
		if (nowMs - this.lastReportMs < periodMs) {
			return;
		}
		this.lastReportMs = nowMs;
		this.isFirstReportSent = true;
		List<ObservedLoad> loads = this.unreportedLoads.drain(nowMs);
		if (this.relays.areInUse()) {
			Map<String, Long> changedTotals = new HashMap<>();
			this.unreportedWorkspaces
				.forEach((workspace) -> changedTotals.put(workspace, this.admittedTotals.getOrDefault(workspace, 0L)));
			this.relays.addOwn(changedTotals, loads, nowMs);
			this.transport.sendAll(this.relays.reportReceivers(isStarting(), nowMs),
					report(changedTotals, Map.of(), isStarting(), loads, suspects));
		}
		else {
			this.transport.sendAll(this.peers.instanceIds(),
					report(this.admittedTotals, this.listener.levels(), isStarting(), loads, suspects));
		}
		this.unreportedWorkspaces.clear();
	}

	private boolean isStarting() {
		return this.timer.nowMs() - this.startedMs < this.settings.startMs();
	}

	private UsageReport report(Map<String, Long> totals, Map<String, Long> levels, boolean isStarting,
			List<ObservedLoad> loads, List<SuspectRequest> suspects) {
		return new UsageReport(this.endpoint.incarnation(), this.endpoint.zone(), this.endpoint.host(),
				this.endpoint.port(), isStarting, totals, levels, this.timer.nowMs() - this.startedMs, loads, suspects,
				this.evacuationSharing.confirmed());
	}

	private void receive(InstanceId from, UsageReport report) {
		long nowMs = this.timer.nowMs();
		UsagePeer peer = this.peers.recordContact(from, report, nowMs);
		boolean isContinuous = peer.checkContinuity(report, nowMs, this.settings);
		Map<String, Long> directIncreases = peer.merge(report);
		peer.recordReport(report, nowMs);
		this.loadSharing.loadsObservedElsewhere(report.loads());
		this.quarantine.observedElsewhere(report.suspects(), this.relays.areInUse());
		evacuationsReceived(from, report.evacuations());
		if (this.relays.areInUse()) {
			deduct(this.relays.addReport(from, report, nowMs));
		}
		else if (isContinuous) {
			deduct(directIncreases);
		}
		if (isStarting() && !this.isFirstStart) {
			report.levels().forEach((name, level) -> this.listener.levelReported(new WorkspaceId(name), level));
		}
		if (report.isStarting()) {
			this.transport.send(from,
					report(this.admittedTotals, this.listener.levels(), false, List.of(), this.quarantine.all()));
		}
	}

	private void receive(InstanceId from, UsageDigest digest) {
		long nowMs = this.timer.nowMs();
		this.peers.recordContact(from, digest, nowMs);
		this.loadSharing.loadsObservedElsewhere(digest.loads());
		this.quarantine.observedElsewhere(digest.suspects(), this.relays.areInUse());
		evacuationsReceived(from, digest.evacuations());
		deduct(this.relays.addDigest(from, digest, nowMs));
	}

	private void evacuationsReceived(InstanceId from, @Nullable EvacuatedZones evacuations) {
		if (evacuations != null) {
			this.evacuationSharing.receivedFrom(from, evacuations);
		}
	}

	private void deduct(Map<String, Long> increases) {
		increases.forEach((name, increase) -> {
			if (increase > 0) {
				WorkspaceId workspace = new WorkspaceId(name);
				this.listener.admittedElsewhere(workspace, increase);
				this.isUrgent |= this.listener.isLow(workspace);
			}
		});
	}

}
