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
 * Learns the newest version before a starting instance reports ready. The store is asked
 * for the head. During an outage the newest version of several peers counts, and if no
 * peer can be reached either, the one in the data folder. An instance that finds none of
 * them keeps trying, because with an empty configuration it would refuse every caller.
 */
final class ConfigurationBootstrap {

	private final ConfigurationSettings settings;

	private final TimerService timer;

	private final MembershipView membership;

	private final ConfigurationStore store;

	private final ConfigurationArchive archive;

	private final ConfigurationFetcher fetcher;

	private final Supplier<ConfigurationDocument> current;

	private final Consumer<ConfigurationDocument> learned;

	private final CompletableFuture<Void> ready = new CompletableFuture<>();

	ConfigurationBootstrap(ConfigurationSettings settings, TimerService timer, MembershipView membership,
			ConfigurationStore store, ConfigurationArchive archive, ConfigurationFetcher fetcher,
			Supplier<ConfigurationDocument> current, Consumer<ConfigurationDocument> learned) {
		this.settings = settings;
		this.timer = timer;
		this.membership = membership;
		this.store = store;
		this.archive = archive;
		this.fetcher = fetcher;
		this.current = current;
		this.learned = learned;
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
		List<CompletableFuture<Void>> answers = new ArrayList<>();
		for (InstanceId peer : choosePeers()) {
			CompletableFuture<Void> answer = new CompletableFuture<>();
			answers.add(answer);
			this.fetcher.fetch(peer, this.current.get()).whenComplete((document, error) -> {
				if (document != null) {
					this.learned.accept(document);
				}
				answer.complete(null);
			});
		}
		CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0])).thenRun(() -> queryStore(archived));
	}

	private void queryStore(ConfigurationDocument archived) {
		this.store.readHead()
			.thenCompose((stored) -> this.store.load(stored.head(), newer(archived, this.current.get())))
			.whenComplete((document, error) -> {
				if (document != null) {
					this.learned.accept(document);
					this.ready.complete(null);
					return;
				}
				this.learned.accept(archived);
				// Peers without a version may themselves be starting.
				if (this.current.get().version() > 0) {
					this.ready.complete(null);
				}
				else {
					this.timer.schedule(this.settings.retryMs(), () -> queryPeers(archived));
				}
			});
	}

	private static ConfigurationDocument newer(ConfigurationDocument one, ConfigurationDocument other) {
		return (one.version() > other.version()) ? one : other;
	}

	/**
	 * Chooses half of the peers from the own zone and half from others, so that a stale
	 * zone alone doesn't decide.
	 * @return the peers
	 */
	private List<InstanceId> choosePeers() {
		AvailabilityZone zone = this.membership.self().availabilityZone();
		List<InstanceId> near = new ArrayList<>();
		List<InstanceId> far = new ArrayList<>();
		for (Member member : this.membership.members()) {
			if (!member.id().equals(this.membership.self().id()) && member.state().isRoutable()) {
				(member.availabilityZone().equals(zone) ? near : far).add(member.id());
			}
		}
		List<InstanceId> chosen = new ArrayList<>();
		while (chosen.size() < this.settings.startPeers() && !(near.isEmpty() && far.isEmpty())) {
			boolean isFarNext = chosen.size() % 2 == 0 && !far.isEmpty();
			chosen.add(((isFarNext || near.isEmpty()) ? far : near).remove(0));
		}
		return chosen;
	}

}
