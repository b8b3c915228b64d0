package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Loads the newest version before a starting instance reports ready. The head is read
 * from the store. During a store outage the newest version of several peers is used, and
 * if no peer is reachable either, the one in the data folder. An instance that finds no
 * version retries, because with an empty configuration it would reject every caller.
 */
final class ConfigurationBootstrap {

	private final ConfigurationSettings settings;

	private final TimerService timer;

	private final MembershipView membership;

	private final ConfigurationStore store;

	private final ConfigurationArchive archive;

	private final ConfigurationFetcher fetcher;

	private final Supplier<ConfigurationDocument> current;

	private final Consumer<ConfigurationDocument> documentListener;

	private final CompletableFuture<Void> ready = new CompletableFuture<>();

	ConfigurationBootstrap(ConfigurationSettings settings, TimerService timer, MembershipView membership,
			ConfigurationStore store, ConfigurationArchive archive, ConfigurationFetcher fetcher,
			Supplier<ConfigurationDocument> current, Consumer<ConfigurationDocument> documentListener) {
		this.settings = settings;
		this.timer = timer;
		this.membership = membership;
		this.store = store;
		this.archive = archive;
		this.fetcher = fetcher;
		this.current = current;
		this.documentListener = documentListener;
	}

	CompletableFuture<Void> start() {
		this.archive.load()
			.whenComplete((archived, error) -> queryPeers((archived != null) ? archived : ConfigurationDocument.EMPTY));
		return this.ready;
	}

	boolean isReady() {
		return this.ready.isDone();
	}

	private void queryPeers(ConfigurationDocument archived) {
		List<CompletableFuture<Void>> queries = new ArrayList<>();
		for (InstanceId peer : choosePeers()) {
			CompletableFuture<Void> query = new CompletableFuture<>();
			queries.add(query);
			this.fetcher.fetch(peer, this.current.get()).whenComplete((document, error) -> {
				if (document != null) {
					this.documentListener.accept(document);
				}
				query.complete(null);
			});
		}
		CompletableFuture.allOf(queries.toArray(new CompletableFuture<?>[0])).thenRun(() -> queryStore(archived));
	}

	private void queryStore(ConfigurationDocument archived) {
		this.store.readHead()
			.thenCompose((stored) -> this.store.load(stored.head(), newerOf(archived, this.current.get())))
			.whenComplete((document, error) -> {
				if (document != null) {
					this.documentListener.accept(document);
					this.ready.complete(null);
					return;
				}
				this.documentListener.accept(archived);
				// Peers that have no version may be starting as well, so retry.
				if (this.current.get().version() > 0) {
					this.ready.complete(null);
				}
				else {
					this.timer.schedule(this.settings.retryMs(), () -> queryPeers(archived));
				}
			});
	}

	private static ConfigurationDocument newerOf(ConfigurationDocument first, ConfigurationDocument second) {
		return (first.version() > second.version()) ? first : second;
	}

	/**
	 * Chooses half of the peers from the zone of this instance and half from other zones,
	 * so that the result does not depend on a single zone, which may be outdated.
	 * @return at most {@link ConfigurationSettings#startPeers()} peers
	 */
	private List<InstanceId> choosePeers() {
		AvailabilityZone zone = this.membership.self().availabilityZone();
		List<InstanceId> localPeers = new ArrayList<>();
		List<InstanceId> remotePeers = new ArrayList<>();
		for (Member member : this.membership.members()) {
			if (!member.id().equals(this.membership.self().id()) && member.state().isRoutable()) {
				(member.availabilityZone().equals(zone) ? localPeers : remotePeers).add(member.id());
			}
		}
		List<InstanceId> chosen = new ArrayList<>();
		while (chosen.size() < this.settings.startPeers() && !(localPeers.isEmpty() && remotePeers.isEmpty())) {
			boolean isRemoteNext = chosen.size() % 2 == 0 && !remotePeers.isEmpty();
			chosen.add(((isRemoteNext || localPeers.isEmpty()) ? remotePeers : localPeers).remove(0));
		}
		return chosen;
	}

}
