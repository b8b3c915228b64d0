package dev.nutmegdoor.core.watch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;

/**
 * Chooses the watching instances of the own zone: the first ones in the order of their
 * identifiers, except those that are silent or state that the store doesn't answer them.
 * All instances arrive at the same choice without an election; while their views differ,
 * more instances than usual watch the store.
 */
final class WatchSources {

	/** Two in each zone, so that the loss of one interrupts nothing. */
	private static final int WATCHERS_PER_ZONE = 2;

	/** Time in milliseconds after which an instance that is not heard is forgotten. */
	private static final long FORGET_MS = 300_000;

	private final InstanceId self;

	private final AvailabilityZone zone;

	private final SharedWatchSettings settings;

	private final EventLog events;

	private final Map<InstanceId, WatchSource> sources = new HashMap<>();

	private List<InstanceId> chosen = List.of();

	WatchSources(InstanceId self, AvailabilityZone zone, SharedWatchSettings settings, EventLog events) {
		this.self = self;
		this.zone = zone;
		this.settings = settings;
		this.events = events;
	}

	WatchSource source(InstanceId id) {
		return this.sources.computeIfAbsent(id, (key) -> new WatchSource());
	}

	/**
	 * Chooses the watching instances.
	 * @param entries all known instances
	 * @param isOwnWatchHealthy whether this instance watches the store and the store
	 * answers
	 * @param nowMs current time in milliseconds
	 */
	void choose(Collection<DirectoryEntry> entries, boolean isOwnWatchHealthy, long nowMs) {
		if (isOwnWatchHealthy) {
			source(this.self).recordHealthy(nowMs);
		}
		for (InstanceId id : this.chosen) {
			boolean isSelf = id.equals(this.self);
			// While the store answers nobody, another choice would not help.
			boolean isUnhealthyAccepted = !isSelf && !isOwnWatchHealthy;
			if ((isSelf || isHeard(id)) && source(id).suspectIfSilent(nowMs, isUnhealthyAccepted, this.settings)) {
				this.events.record("watch.source-suspected", "instance", id, "ownWatchHealthy", isOwnWatchHealthy);
			}
		}
		List<InstanceId> candidates = new ArrayList<>();
		for (DirectoryEntry entry : entries) {
			if (entry.availabilityZone().equals(this.zone)) {
				candidates.add(entry.id());
			}
		}
		candidates.add(this.self);
		candidates.removeIf((id) -> isSuspected(id, nowMs));
		candidates.sort(Comparator.naturalOrder());
		this.chosen = List.copyOf(candidates.subList(0, Math.min(WATCHERS_PER_ZONE, candidates.size())));
		this.sources.forEach((id, source) -> {
			if (!this.chosen.contains(id)) {
				source.setNotChosen();
			}
		});
		this.sources.entrySet().removeIf((entry) -> {
			WatchSource source = entry.getValue();
			long lastMs = Math.max(source.heardMs(), source.subscribedMs());
			return !this.chosen.contains(entry.getKey()) && !source.isSuspected(nowMs) && nowMs - lastMs > FORGET_MS;
		});
	}

	private boolean isSuspected(InstanceId id, long nowMs) {
		WatchSource source = this.sources.get(id);
		return source != null && source.isSuspected(nowMs);
	}

	boolean isSelfChosen() {
		return this.chosen.contains(this.self);
	}

	/**
	 * Returns the position of this instance among the watching ones.
	 * @return 0 for the first one; 1 for all others, because an instance that is not
	 * chosen here has subscribers only while views differ
	 */
	int ownRank() {
		return (this.chosen.indexOf(this.self) == 0) ? 0 : 1;
	}

	// A chosen instance is subscribed to those before it.
	private boolean isHeard(InstanceId id) {
		return !isSelfChosen() || this.chosen.indexOf(id) < this.chosen.indexOf(this.self);
	}

	/**
	 * Returns the instances to subscribe to: the chosen ones, and those that are healthy
	 * now until all chosen ones are. If this instance is chosen, those before it: it uses
	 * their proofs of the store's state in place of calls of its own.
	 * @param nowMs current time in milliseconds
	 * @return other instances
	 */
	Set<InstanceId> targets(long nowMs) {
		Set<InstanceId> targets = new LinkedHashSet<>();
		if (isSelfChosen()) {
			targets.addAll(this.chosen.subList(0, this.chosen.indexOf(this.self)));
			return targets;
		}
		targets.addAll(this.chosen);
		boolean areChosenHealthy = this.chosen.stream()
			.allMatch((id) -> source(id).isHealthy(nowMs, this.settings.silentMs()));
		if (!areChosenHealthy) {
			this.sources.entrySet()
				.stream()
				.filter((entry) -> !entry.getKey().equals(this.self) && !targets.contains(entry.getKey()))
				.filter((entry) -> entry.getValue().isHealthy(nowMs, this.settings.freshMs()))
				.map(Map.Entry::getKey)
				.sorted()
				.limit(WATCHERS_PER_ZONE)
				.toList()
				.forEach(targets::add);
		}
		return targets;
	}

	/**
	 * Returns the latest outage if all instances that are heard have observed one. One
	 * that the store rejects alone is not the sign of an outage.
	 * @param nowMs current time in milliseconds
	 * @return the outage that ended first, or {@code null} if there was none
	 */
	@Nullable ReportedOutage outage(long nowMs) {
		List<ReportedOutage> outages = this.sources.values()
			.stream()
			.filter((source) -> nowMs - source.heardMs() <= this.settings.freshMs())
			.map(WatchSource::outage)
			.toList();
		if (!outages.stream().allMatch(ReportedOutage::isObserved)) {
			return null;
		}
		return outages.stream().min(Comparator.comparingLong((outage) -> outage.endMs(nowMs))).orElse(null);
	}

	List<InstanceId> chosen() {
		return this.chosen;
	}

}
