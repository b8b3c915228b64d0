package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.distribution.FanOut;
import dev.nutmegdoor.core.distribution.LocalPersistence;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.time.PauseDetector;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Applies the newest accepted configuration on this instance and propagates it: the
 * committer and the watchers of each zone announce a new version to a few peers, which
 * fetch it from the announcer and announce it in turn. If an announcement is lost, the
 * version in heartbeats, passed to {@link #onPeerVersion(InstanceId, long)}, triggers the
 * fetch. Methods must be called on the control thread unless they say otherwise.
 */
public final class ConfigurationController implements ConfigurationView {

	/**
	 * Maximum time between the first announcement of a version by a reachable peer and
	 * its application on this instance.
	 */
	private static final long MAX_PROPAGATION_MS = 3_000;

	private final ConfigurationSettings settings;

	private final TimerService timer;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final InvariantRegistry invariants;

	private final StepListener steps;

	private final EventLog events;

	private final ConfigurationStore store;

	private final ConfigurationArchive archive;

	private final ConfigurationFetcher fetcher;

	private final ConfigurationWatcher watcher;

	private final ConfigurationCommitter committer;

	private final ConfigurationBootstrap bootstrap;

	private final UniformRandomProvider random;

	private final List<Consumer<Configuration>> listeners = new ArrayList<>();

	private final RecentEdits recentEdits = new RecentEdits();

	private final PendingVersions pendingVersions = new PendingVersions();

	private volatile ConfigurationDocument document = ConfigurationDocument.EMPTY;

	private final PauseDetector pauseDetector;

	private boolean isLoading;

	private boolean isFetching;

	private long lastApplyDelayMs;

	private long appliedVersions;

	/**
	 * Creates a controller; it does nothing until {@link #start()}.
	 * @param settings timeouts, retry delay and number of watchers and bootstrap peers
	 * @param timer clock and control thread
	 * @param transport sends and receives messages between instances
	 * @param store object store of the platform, which holds the committed configuration
	 * @param membership members to which new versions are announced
	 * @param persistence data folder, which holds a copy of the active version
	 * @param random generates jitter and change identifiers
	 * @param invariants counts checks of {@link Invariant#CONFIGURATION_MONOTONIC}
	 * @param steps called at each step of the protocol, for fault injection
	 * @param events receives the events {@code configuration.*}
	 */
	public ConfigurationController(ConfigurationSettings settings, TimerService timer, PeerTransport transport,
			ObjectStore store, MembershipView membership, LocalPersistence persistence, UniformRandomProvider random,
			InvariantRegistry invariants, StepListener steps, EventLog events) {
		this.settings = settings;
		this.timer = timer;
		this.transport = transport;
		this.membership = membership;
		this.random = random;
		this.invariants = invariants;
		this.steps = steps;
		this.events = events;
		this.pauseDetector = new PauseDetector(timer);
		this.store = new ConfigurationStore(store, timer, random);
		this.archive = new ConfigurationArchive(persistence);
		this.fetcher = new ConfigurationFetcher(timer, transport, settings.peerTimeoutMs());
		this.watcher = new ConfigurationWatcher(this.store, timer, membership, random, settings, this::version,
				this::onStoreHead);
		this.committer = new ConfigurationCommitter(this.store, timer, random, steps, () -> this.document, this::apply);
		this.bootstrap = new ConfigurationBootstrap(settings, timer, membership, this.store, this.archive, this.fetcher,
				() -> this.document, this::apply);
	}

	/**
	 * Starts to serve requests of peers and loads the newest version. The membership
	 * should already contain other instances, because their versions are queried.
	 * @return a future that completes when this instance may report ready
	 */
	public CompletableFuture<Void> start() {
		this.transport.subscribe(ConfigurationAnnouncement.class, (from, message) -> {
			onPeerVersion(from, message.version());
			return null;
		});
		this.transport.subscribe(ConfigurationFetch.class, (from, message) -> CompletableFuture
			.completedFuture(ConfigurationFetcher.createPage(message, this.document, this.recentEdits)));
		return this.bootstrap.start().thenRun(this.watcher::start);
	}

	@Override
	public Configuration current() {
		return this.document.configuration();
	}

	@Override
	public void subscribe(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the active version, as sent in heartbeats; may be called from any thread.
	 * @return the version, 0 before the first one is applied
	 */
	public long version() {
		return this.document.version();
	}

	/**
	 * Returns the date of the most recently loaded sheet; may be called from any thread.
	 * @return the date as {@code yyyy-MM-dd}, or {@code null} if none was loaded
	 */
	public @Nullable String sheetDate() {
		return this.document.sheetDate();
	}

	public boolean isReady() {
		return this.bootstrap.isReady();
	}

	/**
	 * Processes the active version of a peer, received in a heartbeat or announcement,
	 * and fetches it if it is newer than the active version of this instance.
	 * @param peer the peer, from which the version is fetched
	 * @param version the active version of the peer
	 */
	public void onPeerVersion(InstanceId peer, long version) {
		if (version <= version()) {
			return;
		}
		this.pendingVersions.announce(peer, version, this.timer.nowMs());
		fetch();
	}

	/**
	 * Commits a change and applies it on this instance.
	 * @param change the edits with their author and reason
	 * @return the result; rejections and store failures are reported as a
	 * {@link ConfigurationChangeOutcome}, not as a failed future
	 */
	public CompletableFuture<ConfigurationChangeResult> change(ConfigurationChange change) {
		return this.committer.commit(change).whenComplete((result, error) -> {
			if (result != null) {
				this.events.record("configuration.change", "outcome", result.outcome(), "changeId", result.changeId(),
						"version", result.version(), "author", change.author(), "errors", result.errors().size());
			}
		});
	}

	/**
	 * Reads the change history from the store.
	 * @param limit maximum number of entries
	 * @return the entries, latest first; fails with
	 * {@link dev.nutmegdoor.core.store.StoreException}
	 */
	public CompletableFuture<List<ConfigurationChangeRecord>> history(int limit) {
		return this.store.readHead().thenCompose((stored) -> this.store.history(stored.head().changeId(), 0, limit));
	}

	/**
	 * Waits until a version or a later one is active on this instance.
	 * @param version the minimum version to wait for
	 * @param timeoutMs maximum wait in milliseconds
	 * @return the active version, which is older than {@code version} after a timeout
	 */
	public CompletableFuture<Long> awaitVersion(long version, long timeoutMs) {
		CompletableFuture<Long> result = new CompletableFuture<>();
		if (version() >= version) {
			result.complete(version());
			return result;
		}
		Consumer<Configuration> listener = (configuration) -> {
			if (configuration.version() >= version) {
				result.complete(configuration.version());
			}
		};
		this.listeners.add(listener);
		this.timer.schedule(timeoutMs, () -> result.complete(version()));
		return result.whenComplete((ignored, error) -> this.timer.schedule(0, () -> this.listeners.remove(listener)));
	}

	public ConfigurationDump dump() {
		Configuration configuration = current();
		return new ConfigurationDump(configuration.version(), this.document.head().changeId(),
				Math.max(this.pendingVersions.newestVersion(), configuration.version()), isReady(),
				this.watcher.isWatching(), configuration.workspaces().size(), configuration.keys().size(),
				configuration.upstreams().size(), this.appliedVersions, this.lastApplyDelayMs,
				this.document.errors().size());
	}

	private void onStoreHead(ConfigurationHead head) {
		this.pendingVersions.announce(head, this.timer.nowMs());
		fetch();
	}

	/**
	 * Fetches a newer version from the store if its head was read there, and from the
	 * peer that announced it most recently. The two fetches run independently, so that
	 * neither store calls that wait for their rate budget nor a slow peer delay the
	 * other.
	 */
	private void fetch() {
		ConfigurationDocument base = this.document;
		if (!this.isLoading) {
			ConfigurationHead head = this.pendingVersions.pollStoreHead(base.version());
			if (head != null) {
				this.isLoading = true;
				this.store.load(head, base).whenComplete((loaded, error) -> {
					this.isLoading = false;
					onFetched(loaded, error);
				});
			}
		}
		if (!this.isFetching) {
			InstanceId peer = this.pendingVersions.pollPeer(base.version());
			if (peer != null) {
				this.isFetching = true;
				this.fetcher.fetch(peer, base).whenComplete((fetched, error) -> {
					this.isFetching = false;
					onFetched(fetched, error);
					if (error != null) {
						// Other peers may be as slow, but the store has every announced
						// version.
						this.timer.schedule(1 + this.random.nextLong(this.settings.retryMs()), this::fetchFromStore);
					}
				});
			}
		}
	}

	private void onFetched(@Nullable ConfigurationDocument fetched, @Nullable Throwable error) {
		if (fetched != null) {
			apply(fetched);
		}
		else {
			this.events.record("configuration.fetch-failed", "cause", String.valueOf(error));
			if (!this.pendingVersions.hasPeers() && !this.isFetching && !this.isLoading) {
				// The propagation limit applies only while an announcing peer is
				// reachable.
				this.pendingVersions.pollAnnouncementAgeMs(this.timer.nowMs());
			}
		}
		fetch();
	}

	private void fetchFromStore() {
		this.store.readHead().whenComplete((stored, error) -> {
			if (stored != null && stored.head().version() > version()) {
				onStoreHead(stored.head());
			}
		});
	}

	private void apply(ConfigurationDocument next) {
		ConfigurationDocument previous = this.document;
		if (next.version() <= previous.version()) {
			return;
		}
		this.steps.reached(Step.CONFIGURATION_APPLY);
		this.document = next;
		this.appliedVersions++;
		Long announcementAgeMs = this.pendingVersions.pollAnnouncementAgeMs(this.timer.nowMs());
		this.lastApplyDelayMs = (announcementAgeMs != null) ? announcementAgeMs : 0;
		checkPropagation(previous.version(), next.version());
		this.events.record("configuration.applied", "version", next.version(), "changeId", next.head().changeId(),
				"applyMs", this.lastApplyDelayMs, "ignoredItems", next.errors().size());
		List.copyOf(this.listeners).forEach((listener) -> listener.accept(next.configuration()));
		this.archive.save(next);
		previous.compare(this.timer, next)
			.thenAccept((comparison) -> this.recentEdits.add(previous.version(), next.version(), comparison.edits()));
		ConfigurationAnnouncement announcement = new ConfigurationAnnouncement(next.version());
		FanOut.targets(this.membership).forEach((peer) -> this.transport.send(peer, announcement));
	}

	private void checkPropagation(long previousVersion, long version) {
		// A paused process counts as unreachable, so the limit does not apply.
		boolean isInTime = this.lastApplyDelayMs <= MAX_PROPAGATION_MS
				|| this.pauseDetector.hasPausedSince(this.timer.nowMs() - this.lastApplyDelayMs);
		this.invariants.check(Invariant.CONFIGURATION_MONOTONIC, version > previousVersion && isInTime,
				() -> "version " + version + " follows " + previousVersion + " and was applied " + this.lastApplyDelayMs
						+ " ms after it was announced");
	}

}
