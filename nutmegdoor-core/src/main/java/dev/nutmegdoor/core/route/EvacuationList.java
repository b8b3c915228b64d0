package dev.nutmegdoor.core.route;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.store.KindListener;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.store.UnreadableEntries;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Follows the evacuations in the platform's store, which are objects named after the zone
 * to evacuate. The name alone decides, so that an order with an unexpected value takes
 * effect.
 */
public final class EvacuationList implements KindListener {

	private final Deployment deployment;

	private final TimerService timer;

	private final LongSupplier revision;

	private final UnreadableEntries unreadableEntries;

	private final Set<AvailabilityZone> zones = new HashSet<>();

	/**
	 * Creates an empty list.
	 * @param deployment receives the zones after each change
	 * @param timer schedules the end of the wait for the first list
	 * @param events records entries that don't name a zone
	 * @param revision returns the revision of the store up to which the watch has applied
	 * changes
	 */
	public EvacuationList(Deployment deployment, TimerService timer, EventLog events, LongSupplier revision) {
		this.deployment = deployment;
		this.timer = timer;
		this.revision = revision;
		this.unreadableEntries = new UnreadableEntries(events);
	}

	/**
	 * Keeps requests from being routed until the evacuations are known from the store or
	 * another instance, or until the wait ends. An instance that the store does not
	 * answer would otherwise never serve if no other instance knows the evacuations
	 * either.
	 * @param maxWaitMs maximum time to wait in milliseconds
	 */
	public void awaitFirst(long maxWaitMs) {
		this.deployment.awaitEvacuations();
		this.timer.schedule(maxWaitMs, () -> this.deployment.accept(EvacuatedZones.UNCONFIRMED, "none"));
	}

	@Override
	public void listed(List<StoredObject> objects) {
		this.zones.clear();
		objects.forEach((object) -> {
			AvailabilityZone zone = zoneOf(object.kind(), object.name());
			if (zone != null) {
				this.zones.add(zone);
			}
		});
		publish();
	}

	@Override
	public void changed(List<StoreEvent> changes) {
		for (StoreEvent change : changes) {
			AvailabilityZone zone = zoneOf(change.kind(), change.name());
			if (zone != null && change.value() != null) {
				this.zones.add(zone);
			}
			else if (zone != null) {
				this.zones.remove(zone);
			}
		}
		publish();
	}

	private void publish() {
		this.deployment.accept(new EvacuatedZones(this.revision.getAsLong(), List.copyOf(this.zones)), "store");
	}

	private @Nullable AvailabilityZone zoneOf(String kind, String name) {
		try {
			return new AvailabilityZone(name);
		}
		catch (IllegalArgumentException ex) {
			this.unreadableEntries.report(kind, name, "it does not name a zone");
			return null;
		}
	}

}
