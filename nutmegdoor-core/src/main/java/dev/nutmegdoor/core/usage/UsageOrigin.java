package dev.nutmegdoor.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Cumulative counts of one instance, merged from all messages that carry them.
 */
final class UsageOrigin {

	/**
	 * Difference in milliseconds up to which two start times can be those of the same
	 * run: messages with the uptime are delayed.
	 */
	private static final long START_TOLERANCE_MS = 2_000;

	private final Map<String, Long> admittedTotals = new HashMap<>();

	private @Nullable AvailabilityZone zone;

	private String incarnation = "";

	private long startedMs = Long.MIN_VALUE / 2;

	private boolean isObservedFromStart;

	/**
	 * Merges counts. The same counts may arrive over several relays, and later ones
	 * before earlier ones.
	 * @param entry counts of this instance
	 * @param nowMs current time in milliseconds
	 * @param observedSinceMs time since which no admission of a run that started later
	 * can have been missed; of other runs the first count of each workspace only sets the
	 * point from which increases are counted
	 * @return increase by workspace, only of workspaces whose count has risen or is new;
	 * 0 where the count only sets the starting point
	 */
	Map<String, Long> merge(UsageEntry entry, long nowMs, long observedSinceMs) {
		if (!entry.incarnation().equals(this.incarnation)) {
			long startedMs = nowMs - entry.uptimeMs();
			if (startedMs < this.startedMs - START_TOLERANCE_MS) {
				return Map.of();
			}
			this.incarnation = entry.incarnation();
			this.startedMs = startedMs;
			this.admittedTotals.clear();
			this.isObservedFromStart = startedMs >= observedSinceMs - START_TOLERANCE_MS;
		}
		this.zone = entry.zone();
		Map<String, Long> increases = new HashMap<>();
		entry.admitted().forEach((workspace, total) -> {
			Long previousTotal = this.admittedTotals.get(workspace);
			if (previousTotal == null) {
				increases.put(workspace, this.isObservedFromStart ? total : 0L);
			}
			else if (total > previousTotal) {
				increases.put(workspace, total - previousTotal);
			}
			else {
				return;
			}
			this.admittedTotals.put(workspace, total);
		});
		return increases;
	}

	/**
	 * Forgets the counts after a time in which messages were missed. What was admitted
	 * meanwhile was limited by the share of the instances that could be reached.
	 */
	void forgetCounts() {
		this.admittedTotals.clear();
		this.isObservedFromStart = false;
	}

	boolean isIn(AvailabilityZone other) {
		return other.equals(this.zone);
	}

	/**
	 * Creates an entry for others.
	 * @param instance the instance whose counts these are
	 * @param workspaces workspaces to include
	 * @param nowMs current time in milliseconds
	 * @return the entry, or {@code null} if nothing is known of the instance
	 */
	@Nullable UsageEntry toEntry(InstanceId instance, Set<String> workspaces, long nowMs) {
		if (this.zone == null) {
			return null;
		}
		Map<String, Long> totals = new HashMap<>();
		for (String workspace : workspaces) {
			Long total = this.admittedTotals.get(workspace);
			if (total != null) {
				totals.put(workspace, total);
			}
		}
		return new UsageEntry(instance, this.zone, this.incarnation, nowMs - this.startedMs, totals);
	}

}
