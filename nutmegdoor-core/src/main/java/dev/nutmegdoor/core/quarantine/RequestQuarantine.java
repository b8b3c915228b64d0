package dev.nutmegdoor.core.quarantine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Decides which requests are not sent to replicas any more because replicas crashed while
 * they had them. Crashes are counted for the content of a request and for its object.
 * Each instance tells the others what it has seen, so that they count together whichever
 * instances sent the request. A request that a replica completes clears its content and
 * its object of all crashes before, so an object that serves many requests is not
 * withheld because of a single one. Runs on the control thread.
 */
public final class RequestQuarantine {

	/** Crashes that can have no other common cause than the request. */
	private static final int CRASH_LIMIT = 3;

	/** Time in milliseconds after the last crash for which a request is withheld. */
	private static final long QUARANTINE_MS = 600_000;

	/**
	 * Time in milliseconds for which the crashes of a withheld request are kept. After
	 * the quarantine a single further crash renews it.
	 */
	private static final long QUARANTINED_RETENTION_MS = 3_600_000;

	/**
	 * Time in milliseconds for which fewer crashes are kept. Most of these requests only
	 * ran beside the one that crashed the replica.
	 */
	private static final long RETENTION_MS = 60_000;

	/** Period of telling everything, which makes up for lost messages and restarts. */
	private static final long FULL_SHARE_PERIOD_MS = 1_000;

	/** Time in milliseconds for which fewer crashes are told again. */
	private static final long RESHARE_MS = 10_000;

	/** Maximum number of requests that are told at a time. */
	private static final int MAX_SHARED = 64;

	private static final int MAX_HISTORIES = 2_000;

	private final TimerService timer;

	private final EventLog events;

	private final Map<Long, CrashHistory> histories = new LinkedHashMap<>();

	private final Set<Long> unshared = new LinkedHashSet<>();

	private long fullShareMs;

	private long crashCount;

	/**
	 * Creates a quarantine without requests.
	 * @param timer clock
	 * @param events log of crashes and of requests that are withheld
	 */
	public RequestQuarantine(TimerService timer, EventLog events) {
		this.timer = timer;
		this.events = events;
		this.fullShareMs = timer.nowMs();
	}

	/**
	 * Records that a replica crashed while it had a request.
	 * @param fingerprint fingerprint of the request
	 * @param replica the replica
	 * @param sentMs time at which the request was sent to it in milliseconds
	 * @param crashedMs time of the crash in milliseconds
	 */
	public void crashed(RequestFingerprint fingerprint, UpstreamId replica, long sentMs, long crashedMs) {
		this.crashCount++;
		for (long key : fingerprint.keys()) {
			CrashHistory history = this.histories.computeIfAbsent(key, (added) -> new CrashHistory());
			if (history.add(replica, sentMs, crashedMs)) {
				this.unshared.add(key);
				recordCrash(key, history, replica.toString());
			}
		}
		limitHistories();
	}

	/**
	 * Records that a replica has completed a request.
	 * @param fingerprint fingerprint of the request
	 */
	public void completed(RequestFingerprint fingerprint) {
		for (long key : fingerprint.keys()) {
			CrashHistory history = this.histories.get(key);
			if (history != null && history.complete(this.timer.nowMs())) {
				this.unshared.add(key);
			}
		}
	}

	/**
	 * Returns the time for which a request must not be sent to any replica.
	 * @param fingerprint fingerprint of the request
	 * @return time in milliseconds, 0 if the request may be sent
	 */
	public long withheldMs(RequestFingerprint fingerprint) {
		long withheldMs = 0;
		for (long key : fingerprint.keys()) {
			CrashHistory history = this.histories.get(key);
			if (history != null && isQuarantined(history)) {
				withheldMs = Math.max(withheldMs, history.changedMs() + QUARANTINE_MS - this.timer.nowMs());
			}
		}
		return withheldMs;
	}

	/**
	 * Returns what other instances must be told now.
	 * @return requests with news, and periodically all recent ones
	 */
	public List<SuspectRequest> takeDue() {
		long nowMs = this.timer.nowMs();
		if (nowMs - this.fullShareMs >= FULL_SHARE_PERIOD_MS) {
			this.fullShareMs = nowMs;
			removeOutdated();
			return all();
		}
		List<SuspectRequest> due = new ArrayList<>();
		for (Iterator<Long> keys = this.unshared.iterator(); keys.hasNext() && due.size() < MAX_SHARED;) {
			Long key = keys.next();
			keys.remove();
			CrashHistory history = this.histories.get(key);
			if (history != null) {
				due.add(history.toSuspect(key, nowMs));
			}
		}
		return due;
	}

	/**
	 * Returns what an instance that has just started must be told.
	 * @return withheld requests, then those with recent crashes
	 */
	public List<SuspectRequest> all() {
		long nowMs = this.timer.nowMs();
		List<SuspectRequest> quarantined = new ArrayList<>();
		List<SuspectRequest> recent = new ArrayList<>();
		this.histories.forEach((key, history) -> {
			if (isQuarantined(history)) {
				quarantined.add(history.toSuspect(key, nowMs));
			}
			else if (nowMs - history.changedMs() < RESHARE_MS) {
				recent.add(history.toSuspect(key, nowMs));
			}
		});
		quarantined.addAll(recent);
		return quarantined.subList(0, Math.min(MAX_SHARED, quarantined.size()));
	}

	/**
	 * Merges what another instance knows.
	 * @param suspects requests that replicas had when they crashed
	 * @param isPassedOn whether to tell the other instances what is new
	 */
	public void observedElsewhere(List<SuspectRequest> suspects, boolean isPassedOn) {
		for (SuspectRequest suspect : suspects) {
			CrashHistory history = this.histories.computeIfAbsent(suspect.key(), (added) -> new CrashHistory());
			if (history.merge(suspect, this.timer.nowMs())) {
				recordCrash(suspect.key(), history, "another-instance");
				if (isPassedOn) {
					this.unshared.add(suspect.key());
				}
			}
		}
		limitHistories();
	}

	/**
	 * Returns figures for diagnostics.
	 * @return number of withheld contents and objects, of all that replicas had when they
	 * crashed, and of the requests of this instance that replicas had then
	 */
	public String dump() {
		return this.histories.values().stream().filter(this::isQuarantined).count() + "/" + this.histories.size()
				+ " crashes=" + this.crashCount;
	}

	private void recordCrash(long key, CrashHistory history, String source) {
		this.events.record(isQuarantined(history) ? "request.quarantined" : "request.suspected", "key",
				Long.toHexString(key), "crashes", history.independentCrashes(), "source", source, "limit", CRASH_LIMIT);
	}

	private boolean isQuarantined(CrashHistory history) {
		return history.independentCrashes() >= CRASH_LIMIT;
	}

	private void removeOutdated() {
		long nowMs = this.timer.nowMs();
		this.histories.values()
			.removeIf((history) -> nowMs
					- history.changedMs() > (isQuarantined(history) ? QUARANTINED_RETENTION_MS : RETENTION_MS));
	}

	// Drops the eldest, and withheld requests only if there are no others.
	private void limitHistories() {
		if (this.histories.size() <= MAX_HISTORIES) {
			return;
		}
		removeOutdated();
		Iterator<CrashHistory> eldest = this.histories.values().iterator();
		while (this.histories.size() > MAX_HISTORIES && eldest.hasNext()) {
			if (!isQuarantined(eldest.next())) {
				eldest.remove();
			}
		}
		for (Iterator<Long> keys = this.histories.keySet().iterator(); this.histories.size() > MAX_HISTORIES;) {
			keys.next();
			keys.remove();
		}
	}

}
