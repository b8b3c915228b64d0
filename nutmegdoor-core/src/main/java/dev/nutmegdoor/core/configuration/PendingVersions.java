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
	 * Takes the head seen in the store, if it is newer.
	 * @param activeVersion version in force
	 * @return the head, or {@code null}
	 */
	@Nullable ConfigurationHead pollStoreHead(long activeVersion) {
		ConfigurationHead head = this.storeHead;
		this.storeHead = null;
		return (head != null && head.version() > activeVersion) ? head : null;
	}

	/**
	 * Takes the peer that announced the newest version last. A peer that then doesn't
	 * answer is not asked again until it announces again.
	 * @param activeVersion version in force
	 * @return the peer, or {@code null}
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
	 * Ends the measurement of the time since a newer version was first heard of.
	 * @param nowMs current time
	 * @return the time in milliseconds, or {@code null} if none was heard of
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
