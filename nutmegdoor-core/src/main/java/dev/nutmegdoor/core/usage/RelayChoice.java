package dev.nutmegdoor.core.usage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;

/**
 * Chooses the relays of each availability zone: the first instances in the order of their
 * identifiers, except those that have not answered. All instances arrive at the same
 * choice without an election; while their views differ, more relays than usual pass on
 * the same counts. Answers the load of deployments in which reports of each instance to
 * each other would take most of the processor time.
 */
final class RelayChoice {

	/** Two relays for each zone, so that the loss of one interrupts nothing. */
	private static final int RELAYS_PER_ZONE = 2;

	private final InstanceId self;

	private final UsageSettings settings;

	private final Map<InstanceId, Contact> contacts = new HashMap<>();

	RelayChoice(InstanceId self, UsageSettings settings) {
		this.self = self;
		this.settings = settings;
	}

	/**
	 * Returns the relays of a zone without this instance.
	 * @param zone availability zone
	 * @param isOwnZone whether this instance is in the zone and counts as a candidate
	 * @param entries all known instances
	 * @param nowMs current time in milliseconds
	 * @return at most two other instances
	 */
	List<InstanceId> relays(AvailabilityZone zone, boolean isOwnZone, Collection<DirectoryEntry> entries, long nowMs) {
		List<InstanceId> relays = chosen(zone, isOwnZone, entries, nowMs);
		relays.remove(this.self);
		return relays;
	}

	boolean isSelfChosen(AvailabilityZone zone, Collection<DirectoryEntry> entries, long nowMs) {
		return chosen(zone, true, entries, nowMs).contains(this.self);
	}

	private List<InstanceId> chosen(AvailabilityZone zone, boolean isOwnZone, Collection<DirectoryEntry> entries,
			long nowMs) {
		List<InstanceId> candidates = new ArrayList<>();
		for (DirectoryEntry entry : entries) {
			if (entry.availabilityZone().equals(zone) && !isSuspected(entry.id(), nowMs)) {
				candidates.add(entry.id());
			}
		}
		if (isOwnZone) {
			candidates.add(this.self);
		}
		candidates.sort(Comparator.naturalOrder());
		return new ArrayList<>(candidates.subList(0, Math.min(RELAYS_PER_ZONE, candidates.size())));
	}

	private boolean isSuspected(InstanceId id, long nowMs) {
		Contact contact = this.contacts.get(id);
		return contact != null && nowMs < contact.suspectedUntilMs;
	}

	/**
	 * Notes that a message was sent to a relay, which answers with digests.
	 * @param id the relay
	 * @param nowMs current time in milliseconds
	 */
	void sent(InstanceId id, long nowMs) {
		Contact contact = this.contacts.computeIfAbsent(id, (relay) -> new Contact());
		if (!contact.isAwaited) {
			contact.isAwaited = true;
			contact.awaitedSinceMs = nowMs;
		}
		else if (nowMs - contact.awaitedSinceMs > this.settings.freshMs()) {
			contact.isAwaited = false;
			contact.suspectedUntilMs = nowMs + this.settings.suspectMs();
		}
	}

	void received(InstanceId id) {
		Contact contact = this.contacts.computeIfAbsent(id, (relay) -> new Contact());
		contact.isAwaited = false;
		contact.suspectedUntilMs = Long.MIN_VALUE;
	}

	private static final class Contact {

		private boolean isAwaited;

		private long awaitedSinceMs;

		private long suspectedUntilMs = Long.MIN_VALUE;

	}

}
