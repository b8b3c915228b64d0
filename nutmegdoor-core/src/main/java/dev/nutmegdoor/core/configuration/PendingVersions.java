package dev.nutmegdoor.core.configuration;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Versions that this instance has heard of and doesn't have in force yet.
 */
final class PendingVersions {

	/** Announced versions by peer, in the order of the announcements. */
	private final Map<InstanceId, Long> announced = new LinkedHashMap<>();

	private @Nullable ConfigurationHead storeHead;

	private @Nullable Long heardMs;

	void announce(InstanceId peer, long version, long nowMs) {
		recordFirstAnnouncement(nowMs);
		this.announced.remove(peer);
		this.announced.put(peer, version);
	}

	void announce(ConfigurationHead head, long nowMs) {
		recordFirstAnnouncement(nowMs);
		this.storeHead = head;
	}

	/**
	 * Takes the head seen in the store, if it is newer.
	 * @param version version in force
	 * @return the head, or {@code null}
	 */
	@Nullable ConfigurationHead pollStoreHead(long version) {
		ConfigurationHead head = this.storeHead;
		this.storeHead = null;
		return (head != null && head.version() > version) ? head : null;
	}

	/**
	 * Takes the peer that announced the newest version last. A peer that then doesn't
	 * answer is not asked again until it announces again.
	 * @param version version in force
	 * @return the peer, or {@code null}
	 */
	@Nullable InstanceId pollPeer(long version) {
		this.announced.values().removeIf((announcedVersion) -> announcedVersion <= version);
		InstanceId newest = null;
		for (Map.Entry<InstanceId, Long> entry : this.announced.entrySet()) {
			if (newest == null || entry.getValue() >= this.announced.getOrDefault(newest, 0L)) {
				newest = entry.getKey();
			}
		}
		if (newest != null) {
			this.announced.remove(newest);
		}
		return newest;
	}

	boolean hasPeers() {
		return !this.announced.isEmpty();
	}

	long newest() {
		return this.announced.values().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	/**
	 * Ends the measurement of the time since a newer version was first heard of.
	 * @param nowMs current time
	 * @return the time in milliseconds, or {@code null} if none was heard of
	 */
	@Nullable Long endWaitMs(long nowMs) {
		Long startMs = this.heardMs;
		this.heardMs = null;
		return (startMs != null) ? nowMs - startMs : null;
	}

	private void recordFirstAnnouncement(long nowMs) {
		if (this.heardMs == null) {
			this.heardMs = nowMs;
		}
	}

}
