package dev.nutmegdoor.core.configuration;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Tracks versions that peers or the store have announced and that are not applied yet.
 */
final class PendingVersions {

	/** Announced versions by peer, in order of the most recent announcement. */
	private final Map<InstanceId, Long> announcedVersions = new LinkedHashMap<>();

	private @Nullable ConfigurationHead storeHead;

	private @Nullable Long firstAnnouncementMs;

	void announce(InstanceId peer, long version, long nowMs) {
		recordFirstAnnouncement(nowMs);
		this.announcedVersions.remove(peer);
		this.announcedVersions.put(peer, version);
	}

	void announce(ConfigurationHead head, long nowMs) {
		recordFirstAnnouncement(nowMs);
		this.storeHead = head;
	}

	/**
	 * Removes and returns the head that was read from the store.
	 * @param activeVersion version that is active on this instance
	 * @return the head, or {@code null} if there is none newer than the active version
	 */
	@Nullable ConfigurationHead pollStoreHead(long activeVersion) {
		ConfigurationHead head = this.storeHead;
		this.storeHead = null;
		return (head != null && head.version() > activeVersion) ? head : null;
	}

	/**
	 * Removes and returns the peer that announced the newest version; of several peers
	 * the one that did so last. A peer that does not respond to the fetch is not queried
	 * again until its next announcement.
	 * @param activeVersion version that is active on this instance
	 * @return the peer, or {@code null} if none has announced a newer version
	 */
	@Nullable InstanceId pollPeer(long activeVersion) {
		this.announcedVersions.values().removeIf((announcedVersion) -> announcedVersion <= activeVersion);
		InstanceId newestPeer = null;
		for (Map.Entry<InstanceId, Long> entry : this.announcedVersions.entrySet()) {
			if (newestPeer == null || entry.getValue() >= this.announcedVersions.getOrDefault(newestPeer, 0L)) {
				newestPeer = entry.getKey();
			}
		}
		if (newestPeer != null) {
			this.announcedVersions.remove(newestPeer);
		}
		return newestPeer;
	}

	boolean hasPeers() {
		return !this.announcedVersions.isEmpty();
	}

	long newestVersion() {
		return this.announcedVersions.values().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	/**
	 * Returns the time since the first announcement of a newer version and clears it, so
	 * that the next announcement starts a new measurement.
	 * @param nowMs current time on the timer service in milliseconds
	 * @return the time in milliseconds, or {@code null} if no version was announced
	 */
	@Nullable Long pollAnnouncementAgeMs(long nowMs) {
		Long sinceMs = this.firstAnnouncementMs;
		this.firstAnnouncementMs = null;
		return (sinceMs != null) ? nowMs - sinceMs : null;
	}

	private void recordFirstAnnouncement(long nowMs) {
		if (this.firstAnnouncementMs == null) {
			this.firstAnnouncementMs = nowMs;
		}
	}

}
