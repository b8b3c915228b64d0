package dev.nutmegdoor.core.configuration;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.distribution.RendezvousHash;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreWatchResult;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Watches the head in the store while this instance is one of the watchers of its zone.
 * At most one watch request is pending at a time.
 */
final class ConfigurationWatcher {

	private final ConfigurationStore store;

	private final TimerService timer;

	private final MembershipView membership;

	private final UniformRandomProvider random;

	private final ConfigurationSettings settings;

	private final LongSupplier currentVersion;

	private final Consumer<ConfigurationHead> listener;

	private boolean isWatching;

	ConfigurationWatcher(ConfigurationStore store, TimerService timer, MembershipView membership,
			UniformRandomProvider random, ConfigurationSettings settings, LongSupplier currentVersion,
			Consumer<ConfigurationHead> listener) {
		this.store = store;
		this.timer = timer;
		this.membership = membership;
		this.random = random;
		this.settings = settings;
		this.currentVersion = currentVersion;
		this.listener = listener;
	}

	void start() {
		this.timer.subscribe(this.settings.retryMs(), this::check);
		check();
	}

	boolean isWatching() {
		return this.isWatching;
	}

	private void check() {
		if (!this.isWatching && isChosen()) {
			this.isWatching = true;
			readHead();
		}
	}

	private boolean isChosen() {
		return RendezvousHash.isChosen("configuration", this.settings.watchersPerZone(), this.membership);
	}

	private void readHead() {
		this.store.readHead().whenComplete((stored, error) -> {
			if (error != null) {
				retry();
				return;
			}
			reportIfNewer(stored.head());
			// If a shard is deleted before it is read, the watch reports the head that
			// replaced it.
			watch(stored.objectVersion());
		});
	}

	private void watch(long afterVersion) {
		if (!isChosen()) {
			this.isWatching = false;
			return;
		}
		this.store.store()
			.watch(ConfigurationStore.HEAD_KIND, afterVersion, this.settings.watchTimeoutMs())
			.whenComplete((result, error) -> {
				if (error != null) {
					retry();
				}
				else if (result.isReset()) {
					readHead();
				}
				else {
					reportEvents(result);
					watch(result.version());
				}
			});
	}

	private void reportEvents(StoreWatchResult result) {
		for (StoreEvent event : result.events()) {
			String value = event.value();
			if (event.name().equals(ConfigurationStore.HEAD_NAME) && value != null) {
				reportIfNewer(ConfigurationHead.parse(value));
			}
		}
	}

	private void reportIfNewer(ConfigurationHead head) {
		if (head.version() > this.currentVersion.getAsLong()) {
			this.listener.accept(head);
		}
	}

	private void retry() {
		long delayMs = this.settings.retryMs() / 2 + 1 + this.random.nextLong(this.settings.retryMs());
		this.timer.schedule(delayMs, this::readHead);
	}

}
