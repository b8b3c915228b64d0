package dev.nutmegdoor.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Tracks the instances of the cluster and their states. Each instance sends heartbeats to
 * a few others. State changes are forwarded immediately to a few random instances and
 * repeated in heartbeats. An unresponsive neighbour in the ring becomes suspect for all
 * instances. The instances of an unresponsive zone are suspect only in the local view,
 * because the zone may be partitioned rather than down. All methods must be called on the
 * control thread.
 */
public final class MembershipController implements MembershipView {

	/** Delay of a tick that shows that this process was paused and missed heartbeats. */
	private static final long PAUSE_THRESHOLD_MS = 1000;

	private static final int JOIN_PEERS = 3;

	private final TimerService timer;

	private final PeerTransport transport;

	private final InstanceDirectory directory;

	private final UniformRandomProvider random;

	private final EventLog eventLog;

	private final MembershipSettings settings;

	private final MemberTable table = new MemberTable();

	private final HeartbeatTargets targets;

	private final HeartbeatFields heartbeatFields = new HeartbeatFields();

	private final MemberListeners listeners;

	private final ChangeBatcher floodBatcher;

	private final FailureDetector failureDetector;

	private final MembershipReconciler reconciler;

	private MemberUpdate self;

	private @Nullable List<Member> membersSnapshot;

	private long lastTickMs;

	private long sentMessages;

	public MembershipController(Member self, TimerService timer, PeerTransport transport, InstanceDirectory directory,
			UniformRandomProvider random, EventLog eventLog, MembershipSettings settings) {
		this.self = new MemberUpdate(self, 1);
		this.timer = timer;
		this.transport = transport;
		this.directory = directory;
		this.random = random;
		this.eventLog = eventLog;
		this.settings = settings;
		this.listeners = new MemberListeners(eventLog);
		this.targets = new HeartbeatTargets(self, settings.ringNeighbours(), random);
		this.reconciler = new MembershipReconciler(timer, transport, random);
		this.failureDetector = new FailureDetector(this.targets, settings);
		this.floodBatcher = new ChangeBatcher(timer, (change) -> {
			for (InstanceId target : this.targets.sample(this.table, settings.floodFanOut())) {
				send(target, change);
			}
		});
	}

	/**
	 * Adds a field to all heartbeats. Must be called before {@link #start}.
	 * @param extension writes and reads the field
	 */
	public void register(HeartbeatExtension extension) {
		this.heartbeatFields.add(extension);
	}

	/**
	 * Joins the cluster and starts to send heartbeats.
	 * @param seeds instances from the settings that are queried in addition to those in
	 * the platform's list; may be empty
	 */
	public void start(List<Member> seeds) {
		this.lastTickMs = this.timer.nowMs();
		this.transport.subscribe(Heartbeat.class, this::receiveHeartbeat);
		this.transport.subscribe(MembershipChange.class, (from, message) -> {
			message.updates().forEach(this::merge);
			return null;
		});
		this.transport.subscribe(MembershipSync.class, (from, message) -> {
			merge(message.sender());
			List<MemberUpdate> updates = this.table.presentUpdates();
			updates.add(this.self);
			return CompletableFuture.completedFuture(new MembershipSyncAnswer(updates));
		});
		for (Member seed : seeds) {
			merge(new MemberUpdate(seed, 0), false);
		}
		join();
		new DirectoryReader(this.directory, this.timer, this.random, this.eventLog, this.settings)
			.start(this::mergeDirectory);
		this.timer.schedule(1 + this.random.nextLong(this.settings.heartbeatMs()), () -> {
			tick();
			this.timer.subscribe(this.settings.heartbeatMs(), this::tick);
		});
	}

	/**
	 * Announces to all instances that this instance is draining.
	 */
	public void leave() {
		this.self = new MemberUpdate(this.self.withState(MemberState.LEAVING).member(), this.self.version() + 1);
		this.membersSnapshot = null;
		this.floodBatcher.add(this.self);
		announce(this.self.member().id());
	}

	@Override
	public Member self() {
		return this.self.member();
	}

	@Override
	public List<Member> members() {
		List<Member> cachedMembers = this.membersSnapshot;
		if (cachedMembers == null) {
			List<Member> members = new ArrayList<>();
			members.add(this.self.member());
			this.table.entries().forEach((entry) -> members.add(ownView(entry)));
			members.removeIf((member) -> member.state() == MemberState.GONE);
			members.sort((a, b) -> a.id().compareTo(b.id()));
			cachedMembers = List.copyOf(members);
			this.membersSnapshot = cachedMembers;
		}
		return cachedMembers;
	}

	@Override
	public @Nullable Member member(InstanceId id) {
		if (id.equals(this.self.member().id())) {
			return this.self.member();
		}
		MemberTable.Entry entry = this.table.get(id);
		return (entry != null) ? ownView(entry) : null;
	}

	@Override
	public void subscribe(Consumer<Member> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns a snapshot of the state for the operator.
	 * @return the snapshot
	 */
	public MembershipDump dump() {
		List<Member> members = this.table.entries().stream().map(this::ownView).toList();
		return new MembershipDump(self(), this.self.version(), members, this.table.zoneAgesMs(this.timer.nowMs()),
				this.sentMessages);
	}

	private Member ownView(MemberTable.Entry entry) {
		boolean isZoneUnresponsive = entry.state() == MemberState.LIVE
				&& this.table.zoneAgeMs(entry.zone(), this.timer.nowMs()) > this.settings.zoneSuspectAfterMs();
		return (isZoneUnresponsive ? entry.update().withState(MemberState.SUSPECT) : entry.update()).member();
	}

	private void tick() {
		long nowMs = this.timer.nowMs();
		if (nowMs - this.lastTickMs > this.settings.heartbeatMs() + PAUSE_THRESHOLD_MS) {
			this.eventLog.record("membership.paused", "late_ms", nowMs - this.lastTickMs);
			this.table.resetSilenceTimers(nowMs);
		}
		this.lastTickMs = nowMs;
		this.failureDetector.findChanges(this.table, nowMs).forEach(this::merge);
		for (InstanceId id : this.failureDetector.findNearlySuspect(this.table, nowMs)) {
			send(id, heartbeat(List.of(), true));
		}
		Heartbeat heartbeat = heartbeat(this.table.nextUpdates(), false);
		for (InstanceId target : this.targets.next(this.table)) {
			send(target, heartbeat);
		}
		// A zone can become suspect without any message, by the passage of time.
		this.membersSnapshot = null;
		for (MemberTable.Entry entry : this.table.entries()) {
			announce(entry.id());
		}
	}

	private Heartbeat heartbeat(List<MemberUpdate> updates, boolean answerWanted) {
		return new Heartbeat(this.self, this.table.digest(self()), updates, this.table.zoneAgesMs(this.timer.nowMs()),
				this.heartbeatFields.write(), answerWanted);
	}

	private @Nullable CompletableFuture<? extends PeerMessage> receiveHeartbeat(InstanceId from, Heartbeat message) {
		long nowMs = this.timer.nowMs();
		merge(message.sender());
		this.table.recordHeartbeat(from, message.sender().member().availabilityZone(), nowMs);
		message.zoneAgesMs()
			.forEach((zone, ageMs) -> this.table.recordZoneContact(new AvailabilityZone(zone),
					nowMs - Math.max(0, ageMs)));
		message.updates().forEach(this::merge);
		MemberTable.Entry entry = this.table.get(from);
		if (entry != null && entry.update().isNewerThan(message.sender())) {
			// The sender is running, but this instance has it as suspect or gone. The
			// sender increments its version when it receives this update.
			send(from, new MembershipChange(List.of(entry.update())));
		}
		if (message.answerWanted()) {
			send(from, heartbeat(List.of(), false));
		}
		if (message.digest() != this.table.digest(self()) && this.reconciler.isDue()) {
			sync(from);
		}
		this.heartbeatFields.read(from, message.fields());
		return null;
	}

	private void sync(InstanceId peer) {
		this.sentMessages++;
		// The other instances have these entries already.
		this.reconciler.fetch(peer, this.self, (update) -> merge(update, false));
	}

	private void merge(MemberUpdate update) {
		merge(update, true);
	}

	private void merge(MemberUpdate update, boolean isPropagated) {
		if (update.member().id().equals(this.self.member().id())) {
			boolean isContradicting = update.version() >= this.self.version()
					&& update.member().state() != this.self.member().state();
			if (isContradicting) {
				this.self = new MemberUpdate(this.self.member(), update.version() + 1);
				this.floodBatcher.add(this.self);
			}
			return;
		}
		if (this.table.merge(update, this.timer.nowMs(), isPropagated)) {
			this.membersSnapshot = null;
			if (isPropagated) {
				this.floodBatcher.add(update);
			}
			announce(update.member().id());
		}
	}

	private void announce(InstanceId id) {
		Member member = member(id);
		if (member != null) {
			this.listeners.announce(member);
		}
	}

	private void join() {
		for (InstanceId peer : this.targets.sample(this.table, JOIN_PEERS)) {
			sync(peer);
		}
	}

	private void mergeDirectory(List<DirectoryEntry> listed, boolean isFirst) {
		for (DirectoryEntry listedEntry : listed) {
			merge(listedEntry.toUpdate(), false);
		}
		for (MemberTable.Entry entry : this.table.mergeListed(listed)) {
			if (entry.state() == MemberState.GONE) {
				send(entry.id(), heartbeat(List.of(entry.update()), true));
			}
		}
		for (MemberTable.Entry entry : this.table.delistedEntries()) {
			// The list may be outdated, so an instance that sends heartbeats is kept.
			if (ownView(entry).state() != MemberState.LIVE) {
				merge(entry.update().withState(MemberState.GONE));
			}
		}
		if (isFirst) {
			join();
		}
	}

	private void send(InstanceId to, PeerMessage message) {
		this.sentMessages++;
		this.transport.send(to, message);
	}

}
