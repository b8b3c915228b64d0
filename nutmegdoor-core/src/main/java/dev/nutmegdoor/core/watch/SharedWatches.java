package dev.nutmegdoor.core.watch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.store.ListWatcher;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.core.store.WatchSharing;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Shares the watches on the platform's store in large deployments. Two instances of each
 * zone watch the store; the others subscribe to them and receive the changes. A follower
 * that gets no recent proof of the store's state, or lacks a change, watches the store
 * itself from the last revision that it has applied. In a small deployment there are no
 * timers and no messages. Runs on the control thread.
 */
public final class SharedWatches implements WatchSharing {

	/** Age in milliseconds from which an outage elsewhere has no effect here. */
	private static final long MAX_OUTAGE_AGE_MS = 60_000;

	private static final long MIN_TICK_MS = 10;

	private final PeerTransport transport;

	private final DirectoryEntry self;

	private final Supplier<? extends Collection<DirectoryEntry>> others;

	private final Consumer<DirectoryEntry> introductionListener;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final StoreHealth health;

	private final EventLog events;

	private final SharedWatchSettings settings;

	private final String run;

	private final WatchSources sources;

	private final WatchSubscribers subscribers = new WatchSubscribers();

	private final Map<String, SharedList> lists = new LinkedHashMap<>();

	private final ListVerification verification;

	private long sequence;

	private long heartbeatMs = WatchSource.NEVER_MS;

	private @Nullable Subscription tick;

	private volatile WatchRole role = WatchRole.DIRECT;

	private volatile long oldestFreshMs;

	private volatile long oldestVerifiedMs;

	private volatile long fallbacks;

	/**
	 * Creates an instance without lists and subscribes it to messages.
	 * @param transport sends changes to other instances
	 * @param self zone and address of this instance
	 * @param others returns the other instances
	 * @param introductionListener receives the address of each subscriber
	 * @param timer clock
	 * @param random source of jitter and of the identifier of this run
	 * @param health receives outages that watching instances have observed
	 * @param events log of events
	 * @param settings periods and limits
	 */
	public SharedWatches(PeerTransport transport, DirectoryEntry self,
			Supplier<? extends Collection<DirectoryEntry>> others, Consumer<DirectoryEntry> introductionListener,
			TimerService timer, UniformRandomProvider random, StoreHealth health, EventLog events,
			SharedWatchSettings settings) {
		this.transport = transport;
		this.self = self;
		this.others = others;
		this.introductionListener = introductionListener;
		this.timer = timer;
		this.random = random;
		this.health = health;
		this.events = events;
		this.settings = settings;
		this.run = Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
		this.verification = new ListVerification(this.lists.values(), settings.verifyMs());
		this.sources = new WatchSources(self.id(), self.availabilityZone(), settings, events);
		transport.subscribe(WatchSubscription.class, (from, subscription) -> {
			receive(from, subscription);
			return null;
		});
		transport.subscribe(WatchUpdate.class, (from, update) -> {
			receive(from, update);
			return null;
		});
	}

	/**
	 * Adds a list. Must be called before the list is started.
	 * @param watcher list that asks this object whether it has to watch the store
	 */
	public void add(ListWatcher watcher) {
		this.lists.put(watcher.kind(), new SharedList(watcher, this.timer, this.settings));
	}

	@Override
	public boolean isWatchNeeded(String kind) {
		if (!isInUse()) {
			return true;
		}
		if (this.tick == null) {
			scheduleTick(0);
		}
		SharedList list = this.lists.get(kind);
		return isWatcher() || list == null || !isFresh(list);
	}

	@Override
	public void listed(String kind, long revision) {
		SharedList list = this.lists.get(kind);
		if (list != null) {
			list.listed(revision);
		}
	}

	@Override
	public void changed(String kind, List<StoreEvent> changes, long revision) {
		SharedList list = this.lists.get(kind);
		if (list == null) {
			return;
		}
		long afterRevision = list.buffer().lastRevision();
		list.buffer().add(changes);
		Set<InstanceId> receivers = this.subscribers.current(this.timer.nowMs());
		// A change that is too long to be remembered is not sent either: followers notice
		// at once that they lack it.
		if (!receivers.isEmpty()) {
			boolean isRemembered = list.buffer().baseRevision() <= afterRevision;
			this.transport.sendAll(receivers,
					message(List.of(isRemembered ? list.change(afterRevision, changes) : list.state())));
		}
	}

	private boolean isInUse() {
		return 1 + this.others.get().size() > this.settings.directInstances()
				|| !this.subscribers.current(this.timer.nowMs()).isEmpty();
	}

	private boolean isWatcher() {
		return this.sources.isSelfChosen() || !this.subscribers.current(this.timer.nowMs()).isEmpty();
	}

	private boolean isFresh(SharedList list) {
		return this.timer.nowMs() - list.sharedVerifiedMs() < this.settings.freshMs();
	}

	private WatchUpdate message(List<KindUpdate> kinds) {
		return message(null, kinds);
	}

	private WatchUpdate message(@Nullable Long askedMs, List<KindUpdate> kinds) {
		long sinceOutageMs = this.health.timeSinceOwnOutageMs();
		return new WatchUpdate(this.run, ++this.sequence, this.timer.nowMs(), askedMs,
				(sinceOutageMs <= MAX_OUTAGE_AGE_MS) ? sinceOutageMs : null, kinds);
	}

	private void receive(InstanceId from, WatchSubscription subscription) {
		long nowMs = this.timer.nowMs();
		boolean isNew = !this.subscribers.current(nowMs).contains(from);
		this.introductionListener
			.accept(new DirectoryEntry(from, subscription.zone(), subscription.host(), subscription.port(), false));
		this.subscribers.add(from, nowMs + this.settings.leaseMs());
		updateRole();
		resumeWatches();
		List<KindUpdate> kinds = new ArrayList<>();
		boolean isBehind = false;
		for (SharedList list : this.lists.values()) {
			Long revision = subscription.revisions().get(list.watcher().kind());
			if (list.watcher().isListed() && revision != null) {
				isBehind |= revision < list.buffer().lastRevision();
				kinds.add(list.since(revision));
			}
		}
		Long askedMs = subscription.askedMs();
		if ((isNew || isBehind || askedMs != null) && !kinds.isEmpty()) {
			this.transport.send(from, message(askedMs, kinds));
		}
		scheduleTick(Math.max(0, this.heartbeatMs + this.settings.heartbeatMs() - nowMs));
	}

	private void receive(InstanceId from, WatchUpdate update) {
		long nowMs = this.timer.nowMs();
		WatchSource source = this.sources.source(from);
		if (!source.accept(update, nowMs, this.settings.freshMs())) {
			return;
		}
		source.outage().update(update.sinceOutageMs(), this.health, nowMs);
		// A watching instance knows outages from its own calls.
		ReportedOutage outage = isWatcher() ? null : this.sources.outage(nowMs);
		if (outage != null) {
			this.health.recordOutageElsewhere(outage.startMs(), nowMs - outage.endMs(nowMs));
		}
		boolean isBehind = false;
		for (KindUpdate kind : update.kinds()) {
			SharedList list = this.lists.get(kind.kind());
			if (list != null) {
				isBehind |= !apply(source, list, kind, nowMs);
			}
		}
		if (isBehind) {
			subscribe(from, nowMs);
		}
		updateRole();
		resumeWatches();
	}

	// Returns false if changes are missing that the source remembers.
	private boolean apply(WatchSource source, SharedList list, KindUpdate update, long nowMs) {
		ListWatcher watcher = list.watcher();
		if (!watcher.isListed() || !source.isTrusted(update, watcher.revision(), nowMs, this.settings.freshMs())) {
			return true;
		}
		long verifiedMs = source.verifiedMs(update);
		if (watcher.applyShared(update.afterRevision(), update.revision(), verifiedMs, update.toEvents())) {
			list.recordShared(verifiedMs);
			if (isFresh(list)) {
				watcher.recordSharedSuccess();
			}
			return true;
		}
		if (watcher.revision() >= update.baseRevision()) {
			return false;
		}
		list.recordMissing(update.revision());
		return true;
	}

	private void onTick() {
		this.tick = null;
		long nowMs = this.timer.nowMs();
		if (!isInUse()) {
			updateRole();
			resumeWatches();
			return;
		}
		boolean isOwnWatchHealthy = this.lists.values().stream().allMatch((list) -> list.watcher().isWatching());
		this.sources.choose(this.others.get(), isOwnWatchHealthy, nowMs);
		for (InstanceId target : this.sources.targets(nowMs)) {
			if (nowMs - this.sources.source(target).subscribedMs() >= this.settings.renewMs()) {
				subscribe(target, nowMs);
			}
		}
		if (nowMs - this.heartbeatMs >= this.settings.heartbeatMs()) {
			sendState();
		}
		updateRole();
		resumeWatches();
		this.verification.verify(verifyMs(), this::sendState);
		scheduleTick((this.role == WatchRole.WATCHER)
				? this.verification.delayMs(verifyMs(), this.settings.heartbeatMs()) : followerDelayMs(nowMs));
	}

	private long verifyMs() {
		return isWatcher() ? this.settings.verifyMs() + this.sources.ownRank() * this.settings.verifyStepMs()
				: this.settings.freshMs();
	}

	private void sendState() {
		Set<InstanceId> receivers = this.subscribers.current(this.timer.nowMs());
		if (!receivers.isEmpty()) {
			this.heartbeatMs = this.timer.nowMs();
			this.transport.sendAll(receivers, message(this.lists.values().stream().map(SharedList::state).toList()));
		}
	}

	private void subscribe(InstanceId target, long nowMs) {
		Long askedMs = this.sources.source(target).subscribe(nowMs);
		Map<String, Long> revisions = new HashMap<>();
		this.lists.forEach((kind, list) -> {
			if (list.watcher().isListed()) {
				revisions.put(kind, list.watcher().revision());
			}
		});
		this.transport.send(target, new WatchSubscription(this.self.availabilityZone(), this.self.host(),
				this.self.port(), askedMs, revisions));
	}

	// Until the first of the lists may have to be watched, or the choice may change.
	private long followerDelayMs(long nowMs) {
		long delayMs = this.settings.silentMs();
		for (SharedList list : this.lists.values()) {
			long deadlineMs = list.sharedVerifiedMs() + this.settings.freshMs() + list.jitterMs();
			if (deadlineMs > nowMs) {
				delayMs = Math.min(delayMs, deadlineMs - nowMs);
			}
		}
		return (this.role == WatchRole.FALLBACK) ? Math.min(delayMs, this.settings.freshMs() / 2)
				: Math.max(MIN_TICK_MS, delayMs);
	}

	// An earlier tick replaces a later one.
	private void scheduleTick(long delayMs) {
		if (this.tick != null) {
			this.tick.cancel();
		}
		this.tick = this.timer.schedule(delayMs, this::onTick);
	}

	private void resumeWatches() {
		long nowMs = this.timer.nowMs();
		this.lists.forEach((kind, list) -> {
			long sharedAgeMs = nowMs - list.sharedVerifiedMs();
			boolean isDue = !isInUse() || isWatcher() || sharedAgeMs >= this.settings.freshMs() + list.jitterMs();
			if (isDue && list.watcher().isPaused()) {
				list.setJitterMs(this.random.nextLong(this.settings.jitterMs() + 1));
				if (this.role == WatchRole.FALLBACK) {
					list.countFallback();
					this.fallbacks = this.lists.values().stream().mapToLong(SharedList::fallbacks).sum();
					this.events.record("watch.fallback", "kind", kind, "ageMs",
							Math.min(sharedAgeMs, MAX_OUTAGE_AGE_MS), "verifiedAgeMs", list.verifiedAgeMs(), "revision",
							list.watcher().revision(), "chosen", this.sources.chosen());
				}
				list.watcher().resume();
			}
		});
	}

	private void updateRole() {
		WatchRole current = WatchRole.DIRECT;
		if (isInUse()) {
			boolean areAllFresh = this.lists.values().stream().allMatch(this::isFresh);
			current = isWatcher() ? WatchRole.WATCHER : areAllFresh ? WatchRole.FOLLOWER : WatchRole.FALLBACK;
		}
		if (current != this.role) {
			this.events.record("watch.role", "role", current, "before", this.role, "chosen", this.sources.chosen(),
					"subscribers", this.subscribers.current(this.timer.nowMs()).size(), "verifiedAgeMs",
					verifiedAgesMs());
			this.role = current;
		}
		this.oldestFreshMs = this.lists.values().stream().mapToLong(SharedList::sharedVerifiedMs).min().orElse(0);
		this.oldestVerifiedMs = this.lists.values()
			.stream()
			.mapToLong((list) -> list.watcher().verifiedMs())
			.min()
			.orElse(0);
	}

	private List<Long> verifiedAgesMs() {
		return this.lists.values().stream().map((list) -> Math.min(list.verifiedAgeMs(), MAX_OUTAGE_AGE_MS)).toList();
	}

	/**
	 * Returns the role of this instance. May be called from any thread.
	 * @return the current role
	 */
	public WatchRole role() {
		return this.role;
	}

	/**
	 * Returns the number of times that this instance had to watch the store although it
	 * was a follower. May be called from any thread.
	 * @return count since the start, all kinds together
	 */
	public long fallbacks() {
		return this.fallbacks;
	}

	/**
	 * Returns the age of the last proof of the store's state from a watching instance.
	 * May be called from any thread.
	 * @return milliseconds for the kind that waits longest, 0 unless this instance is a
	 * follower
	 */
	public long ageMs() {
		return (this.role != WatchRole.FOLLOWER) ? 0 : this.timer.nowMs() - this.oldestFreshMs;
	}

	/**
	 * Returns the time since this instance last knew that it lacks no change of the
	 * store, from its own calls or from those of others. May be called from any thread.
	 * @return milliseconds for the kind that waits longest
	 */
	public long verifiedAgeMs() {
		return Math.min(this.timer.nowMs() - this.oldestVerifiedMs, MAX_OUTAGE_AGE_MS);
	}

	/**
	 * Describes the state in one line.
	 * @return role, chosen instances, subscribers and the state of each kind
	 */
	public String dump() {
		long nowMs = this.timer.nowMs();
		List<String> kinds = new ArrayList<>();
		this.lists.forEach((kind,
				list) -> kinds.add(kind + "@" + list.watcher().revision()
						+ (list.watcher().isPaused() ? " ageMs=" + (nowMs - list.sharedVerifiedMs())
								: " watched=" + list.watcher().isWatching())
						+ " verifiedAgeMs=" + list.verifiedAgeMs() + " remembered=" + list.buffer().size()
						+ " fallbacks=" + list.fallbacks()));
		return this.role + " chosen=" + this.sources.chosen() + " subscribers=" + this.subscribers.current(nowMs).size()
				+ " kinds=" + kinds;
	}

}
