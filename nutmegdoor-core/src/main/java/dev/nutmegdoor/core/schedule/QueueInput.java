package dev.nutmegdoor.core.schedule;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;

/**
 * Inputs of the decision whether a call is queued or rejected.
 *
 * @param hasPool whether any replica serves the pool
 * @param isResumed whether only replicas of the software version that began a stream can
 * run the call
 * @param queuedCalls calls of the workspace that are already queued
 * @param maxQueuedCalls maximum number of queued calls of a workspace
 * @param expectedWaitMs expected time until the call is dispatched in milliseconds
 * @param expectedServiceMs minimum time in milliseconds that the call takes once it is
 * dispatched
 * @param timeLeftMs remaining time until the deadline of the call in milliseconds
 * @param leastLoad calls in flight at the least loaded replica, divided by its capacity
 * in concurrent calls
 * @param maxLoad value of {@code leastLoad} above which the call is rejected
 * @param coldWaitMs expected time in milliseconds until a cold replica may get the call,
 * if there are only cold ones; otherwise 0
 */
public record QueueInput(boolean hasPool, boolean isResumed, int queuedCalls, int maxQueuedCalls, double expectedWaitMs,
		double expectedServiceMs, long timeLeftMs, double leastLoad, double maxLoad, double coldWaitMs) {

	/** A pool without replicas rarely recovers in less time. */
	private static final long NO_POOL_RETRY_MS = 5_000;

	/** Approximate time in which a busy engine finishes its running calls. */
	private static final long OVERLOAD_RETRY_MS = 400;

	/**
	 * Creates inputs of a call that is not limited by cold replicas.
	 * @param hasPool whether any replica serves the pool
	 * @param isResumed whether only replicas of one software version can run the call
	 * @param queuedCalls calls of the workspace that are already queued
	 * @param maxQueuedCalls maximum number of queued calls of a workspace
	 * @param expectedWaitMs expected time until the call is dispatched in milliseconds
	 * @param expectedServiceMs minimum time in milliseconds that the call takes
	 * @param timeLeftMs remaining time until the deadline of the call in milliseconds
	 * @param leastLoad relative load of the least loaded replica
	 * @param maxLoad value of {@code leastLoad} above which the call is rejected
	 */
	public QueueInput(boolean hasPool, boolean isResumed, int queuedCalls, int maxQueuedCalls, double expectedWaitMs,
			double expectedServiceMs, long timeLeftMs, double leastLoad, double maxLoad) {
		this(hasPool, isResumed, queuedCalls, maxQueuedCalls, expectedWaitMs, expectedServiceMs, timeLeftMs, leastLoad,
				maxLoad, 0);
	}

	/**
	 * Decides whether the call is rejected instead of queued. The result depends on
	 * nothing but the components, so that a recorded refusal can be verified.
	 * @return the refusal, or {@code null} if the call may be queued
	 */
	public @Nullable Refusal decide() {
		if (!this.hasPool && this.isResumed) {
			return Refusal.notRun(RefusalReason.NOT_RESUMABLE,
					"no replica of the software version that began the stream serves", 0);
		}
		if (!this.hasPool) {
			return Refusal.notRun(RefusalReason.NO_UPSTREAM, "no replica serves this model or service",
					NO_POOL_RETRY_MS);
		}
		if (this.leastLoad > this.maxLoad) {
			return Refusal.notRun(RefusalReason.OVERLOADED, "all replicas are busy, and programs under way come first",
					OVERLOAD_RETRY_MS);
		}
		if (this.coldWaitMs > 0 && this.coldWaitMs + this.expectedServiceMs > this.timeLeftMs) {
			return Refusal.notRun(RefusalReason.OVERLOADED,
					"all replicas are cold and get no further call for " + Math.round(this.coldWaitMs) + " ms",
					Math.max(1, Math.round(this.coldWaitMs)));
		}
		if (this.queuedCalls >= this.maxQueuedCalls) {
			return Refusal.notRun(RefusalReason.QUEUE_FULL, this.queuedCalls + " calls of the workspace wait already",
					retryAfterMs());
		}
		if (this.expectedWaitMs + this.expectedServiceMs > this.timeLeftMs) {
			return Refusal.notRun(RefusalReason.DEADLINE_EXCEEDED,
					"expected wait of " + Math.round(this.expectedWaitMs) + " ms exceeds the time left",
					retryAfterMs());
		}
		return null;
	}

	private long retryAfterMs() {
		return Math.max(1_000, Math.round(this.expectedWaitMs));
	}

}
