package dev.nutmegdoor.core.watch;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * What is known of an instance that watches the store, or is expected to.
 */
final class WatchSource {

	static final long NEVER_MS = Long.MIN_VALUE / 2;

	private static final int MAX_DOUBLINGS = 10;

	private final Map<String, KindState> kinds = new HashMap<>();

	private String run = "";

	private long sequence;

	private final ReportedOutage outage = new ReportedOutage();

	private ClockDifference clockDifference = new ClockDifference();

	private long askedMs = NEVER_MS;

	private long sentMs = NEVER_MS;

	private long heardMs = NEVER_MS;

	private long healthyMs = NEVER_MS;

	private long awaitedSinceMs = NEVER_MS;

	private long subscribedMs = NEVER_MS;

	private long suspectedUntilMs = NEVER_MS;

	private int suspicions;

	/**
	 * Records the arrival of a message.
	 * @param update the message
	 * @param nowMs current time in milliseconds
	 * @param freshMs age in milliseconds up to which a proof of the store's state shows
	 * that the source is healthy
	 * @return {@code false} if a later message has arrived before
	 */
	boolean accept(WatchUpdate update, long nowMs, long freshMs) {
		if (!update.run().equals(this.run)) {
			this.run = update.run();
			this.kinds.clear();
			this.clockDifference = new ClockDifference();
		}
		else if (update.sequence() <= this.sequence) {
			return false;
		}
		this.sequence = update.sequence();
		this.heardMs = nowMs;
		Long sentMs = update.sentMs();
		// An answer to an earlier process of this instance has the time of another clock.
		Long askedMs = update.askedMs();
		if (sentMs != null && askedMs != null && askedMs == this.askedMs) {
			this.clockDifference.record(askedMs, sentMs, nowMs);
		}
		this.sentMs = (sentMs != null && this.clockDifference.isKnown())
				? Math.min(nowMs, this.clockDifference.toOwnTime(sentMs)) : NEVER_MS;
		if (update.kinds().stream().allMatch((kind) -> nowMs - verifiedMs(kind) < freshMs)) {
			recordHealthy(nowMs);
		}
		return true;
	}

	/**
	 * Returns for which time a message of this source shows the state of the store.
	 * @param update part of the last message
	 * @return time in milliseconds, a very small number if it shows nothing
	 */
	long verifiedMs(KindUpdate update) {
		Long ageMs = update.verifiedAgeMs();
		return (ageMs != null && this.sentMs != NEVER_MS) ? this.sentMs - Math.max(0, ageMs) : NEVER_MS;
	}

	/**
	 * Records that a subscription is sent.
	 * @param nowMs current time in milliseconds
	 * @return the time that the source is to repeat, or {@code null} if its clock is
	 * known
	 */
	@Nullable Long subscribe(long nowMs) {
		this.subscribedMs = nowMs;
		if (!this.clockDifference.isQuestionDue(nowMs)) {
			return null;
		}
		this.askedMs = nowMs;
		return nowMs;
	}

	void recordHealthy(long nowMs) {
		this.healthyMs = nowMs;
		this.suspectedUntilMs = NEVER_MS;
		this.suspicions = 0;
	}

	/**
	 * Returns whether the changes of a kind may be applied. A store that was restored
	 * from an older state counts its revisions from there, and changes that it reports
	 * then would be taken for old ones.
	 * @param update state of the source
	 * @param appliedRevision revision up to which changes have been applied here
	 * @param nowMs current time in milliseconds
	 * @param catchUpMs time in milliseconds in which the source must reach a revision
	 * that has been applied here
	 * @return {@code false} if the revision of the source went back or stays behind
	 */
	boolean isTrusted(KindUpdate update, long appliedRevision, long nowMs, long catchUpMs) {
		KindState state = kind(update.kind());
		if (update.revision() < state.revision && update.revision() < appliedRevision) {
			state.isReset = true;
		}
		if (update.revision() >= appliedRevision) {
			state.isReset = false;
			state.expectedRevision = 0;
		}
		else if (update.revision() >= state.expectedRevision) {
			state.expectedRevision = appliedRevision;
			state.behindSinceMs = nowMs;
		}
		state.revision = update.revision();
		return state.expectedRevision == 0 || (!state.isReset && nowMs - state.behindSinceMs <= catchUpMs);
	}

	ReportedOutage outage() {
		return this.outage;
	}

	long heardMs() {
		return this.heardMs;
	}

	boolean isHealthy(long nowMs, long maxAgeMs) {
		return nowMs - this.healthyMs <= maxAgeMs;
	}

	boolean isSuspected(long nowMs) {
		return nowMs < this.suspectedUntilMs;
	}

	long subscribedMs() {
		return this.subscribedMs;
	}

	/**
	 * Suspects the source if it has not been healthy for too long since it was chosen.
	 * @param nowMs current time in milliseconds
	 * @param isUnhealthyAccepted whether messages suffice that state it is not healthy
	 * @param settings times
	 * @return {@code true} if it is suspected from now on
	 */
	boolean suspectIfSilent(long nowMs, boolean isUnhealthyAccepted, SharedWatchSettings settings) {
		if (this.awaitedSinceMs == NEVER_MS) {
			this.awaitedSinceMs = nowMs;
		}
		long lastMs = Math.max(this.awaitedSinceMs, isUnhealthyAccepted ? this.heardMs : this.healthyMs);
		if (nowMs - lastMs <= settings.silentMs()) {
			return false;
		}
		long durationMs = Math.min(settings.maxSuspectMs(),
				settings.suspectMs() << Math.min(this.suspicions, MAX_DOUBLINGS));
		this.suspicions++;
		this.suspectedUntilMs = nowMs + durationMs;
		setNotChosen();
		return true;
	}

	void setNotChosen() {
		this.awaitedSinceMs = NEVER_MS;
	}

	private KindState kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (key) -> new KindState());
	}

	private static final class KindState {

		private long revision;

		private long expectedRevision;

		private long behindSinceMs;

		private boolean isReset;

	}

}
