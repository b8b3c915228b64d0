package dev.nutmegdoor.node.settings;

/**
 * Longest waits of an entry instance.
 *
 * @param callMs time for a whole call
 * @param bodyMs time for receiving a request body
 * @param idleMs time after which an idle connection is closed
 * @param drainNoticeMs time between readiness turning false and the end of listening, in
 * which the balancer notices
 * @param drainMs longest wait for running calls during a drain
 * @param connectMs time for connecting to an upstream
 */
public record TimeoutSettings(long callMs, long bodyMs, long idleMs, long drainNoticeMs, long drainMs, long connectMs) {

	private static final long HOUR_MS = 3_600_000;

	public static TimeoutSettings read(SettingsSection section) {
		return new TimeoutSettings(section.integer("callMs", 1, HOUR_MS, 300_000L),
				section.integer("bodyMs", 1, HOUR_MS, 30_000L), section.integer("idleMs", 1, HOUR_MS, 60_000L),
				section.integer("drainNoticeMs", 0, HOUR_MS, 1_000L), section.integer("drainMs", 1, HOUR_MS, 330_000L),
				section.integer("connectMs", 1, HOUR_MS, 1_000L));
	}

}
