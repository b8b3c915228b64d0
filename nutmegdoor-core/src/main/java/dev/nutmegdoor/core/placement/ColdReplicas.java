package dev.nutmegdoor.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Limits the requests to cold replicas. Each instance may have a fixed number of requests
 * under way to a cold replica, and the numbers of all instances add up to less than the
 * replica survives. A request counts from its dispatch until a window after the replica
 * has begun to answer. A request that arrives in some window is therefore counted at the
 * end of that window, however long it was delayed on the way, so no window contains more
 * requests than all instances may have under way. Runs on the control thread.
 */
public final class ColdReplicas {

	/** Period in milliseconds over which the platform counts requests. */
	static final long WINDOW_MS = 1_000;

	/**
	 * Time in milliseconds for which a replica that has turned cold receives nothing. The
	 * requests that all instances sent to it while it was warm then lie outside the
	 * window, including those that were still waiting for a connection, which takes up to
	 * 250 ms.
	 */
	private static final long SETTLING_MS = WINDOW_MS + 300;

	/**
	 * Period in milliseconds after which a share is computed again, because instances may
	 * have been added.
	 */
	private static final long SHARE_PERIOD_MS = 1_000;

	/**
	 * Time in milliseconds after which a share is available again: the window, about 100
	 * ms until the answer, and up to 100 ms until the queue is examined again.
	 */
	private static final long CYCLE_MS = WINDOW_MS + 200;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final RateShares shares;

	private final ColdTolerance tolerance;

	private final Function<String, @Nullable ColdStart> services;

	private final TimerService timer;

	private final EventLog events;

	private final Map<UpstreamId, ColdState> states = new HashMap<>();

	private final AtomicLong delayedSelections = new AtomicLong();

	/**
	 * Creates rules that know no replica.
	 * @param shares divides the requests between the instances
	 * @param tolerance number of requests that a cold replica survives
	 * @param services returns the properties of a service by its name, or {@code null} if
	 * its replicas are never cold
	 * @param timer clock
	 * @param events log of replicas that turn cold or warm
	 */
	public ColdReplicas(RateShares shares, ColdTolerance tolerance, Function<String, @Nullable ColdStart> services,
			TimerService timer, EventLog events) {
		this.shares = shares;
		this.tolerance = tolerance;
		this.services = services;
		this.timer = timer;
		this.events = events;
	}

	/**
	 * Applies the entry of a replica in the platform's list.
	 * @param id the replica
	 * @param isStarted whether the entry is the first one of a process
	 * @param sequence number of the entry; an entry that is received again changes
	 * nothing
	 * @param coldLeftMs time in milliseconds for which the replica remains cold, or
	 * {@code null} if the entry doesn't state it
	 */
	public void listed(UpstreamId id, boolean isStarted, long sequence, @Nullable Long coldLeftMs) {
		long nowMs = this.timer.nowMs();
		ColdState state = this.states.get(id);
		if (state == null || isStarted) {
			state = new ColdState(nowMs);
			this.states.put(id, state);
		}
		else if (state.sequence == sequence) {
			return;
		}
		state.sequence = sequence;
		if (coldLeftMs != null) {
			state.setListedColdUntil(nowMs + coldLeftMs, nowMs);
			if (coldLeftMs > 0) {
				this.events.record("replica.listed-cold", "replica", id, "coldLeftMs", coldLeftMs, "started",
						isStarted);
			}
		}
	}

	/**
	 * Applies what a replica has stated in a response.
	 * @param id the replica; ignored if it is not known
	 * @param coldMs time in milliseconds for which it remains cold, 0 if it is warm
	 * @param sentMs time in milliseconds at which the request was sent; responses may
	 * overtake each other, so an earlier one does not end what a later one has stated
	 */
	public void stated(UpstreamId id, long coldMs, long sentMs) {
		ColdState state = this.states.get(id);
		if (state == null || sentMs < state.listedMs) {
			return;
		}
		long nowMs = this.timer.nowMs();
		if (coldMs > 0) {
			if (!state.isStatedCold(nowMs)) {
				this.events.record("replica.stated-cold", "replica", id, "coldMs", coldMs);
			}
			state.setStatedColdUntil(nowMs + coldMs, nowMs);
		}
		else if (sentMs >= state.statedMs) {
			state.setWarm(nowMs);
		}
	}

	/**
	 * Replaces the known replicas. One that is not known yet counts as started now.
	 * @param ids identifiers of all replicas
	 */
	void retain(Set<UpstreamId> ids) {
		this.states.keySet().retainAll(ids);
		long nowMs = this.timer.nowMs();
		ids.forEach((id) -> this.states.computeIfAbsent(id, (added) -> new ColdState(nowMs)));
	}

	/**
	 * Returns how often no replica of a pool was usable, because all were cold and had as
	 * many requests as they may get. May be called from any thread.
	 * @return number since the start
	 */
	public long delayedSelections() {
		return this.delayedSelections.get();
	}

	boolean isCold(ReplicaState replica) {
		return remainingMs(replica, this.timer.nowMs()) > 0;
	}

	/**
	 * Returns the time until a replica may get another request of this instance.
	 * @param replica the replica
	 * @return milliseconds, 0 if it is warm or may get one now
	 */
	long waitMs(ReplicaState replica) {
		long nowMs = this.timer.nowMs();
		long remainingMs = remainingMs(replica, nowMs);
		ColdState state = this.states.get(replica.upstream().id());
		if (remainingMs <= 0 || state == null) {
			return 0;
		}
		long settlingMs = state.settledAtMs - nowMs;
		if (settlingMs > 0) {
			return Math.min(remainingMs, settlingMs);
		}
		int share = share(replica, state, nowMs);
		if (replica.underWay(nowMs, WINDOW_MS) < share) {
			return 0;
		}
		return (share == 0) ? remainingMs : Math.min(remainingMs, replica.nextReleaseMs(nowMs, WINDOW_MS));
	}

	/**
	 * Returns the replicas of a pool that may get a request of this instance now.
	 * @param replicas all replicas of the pool
	 * @return the same list if none is limited
	 */
	List<ReplicaState> usable(List<ReplicaState> replicas) {
		List<ReplicaState> usable = replicas;
		for (int i = 0; i < replicas.size() && usable == replicas; i++) {
			if (waitMs(replicas.get(i)) > 0) {
				usable = replicas.stream().filter((replica) -> waitMs(replica) == 0).toList();
			}
		}
		if (usable.isEmpty() && !replicas.isEmpty()) {
			this.delayedSelections.incrementAndGet();
		}
		return usable;
	}

	/**
	 * Returns the expected wait for a replica of a pool.
	 * @param replicas all replicas of the pool
	 * @param queuedCalls number of calls that wait already
	 * @return milliseconds until a replica may get a further request, 0 if one may get
	 * one now
	 */
	double waitMs(Collection<ReplicaState> replicas, int queuedCalls) {
		long nowMs = this.timer.nowMs();
		long leastWaitMs = Long.MAX_VALUE;
		long untilWarmMs = Long.MAX_VALUE;
		int sharedRequests = 0;
		for (ReplicaState replica : replicas) {
			long waitMs = waitMs(replica);
			ColdState state = this.states.get(replica.upstream().id());
			if (waitMs == 0 || state == null) {
				return 0;
			}
			leastWaitMs = Math.min(leastWaitMs, waitMs);
			untilWarmMs = Math.min(untilWarmMs, remainingMs(replica, nowMs));
			sharedRequests += share(replica, state, nowMs);
		}
		if (replicas.isEmpty()) {
			return 0;
		}
		double queueMs = (sharedRequests > 0) ? (double) CYCLE_MS * queuedCalls / sharedRequests : Double.MAX_VALUE;
		return Math.min((double) untilWarmMs, leastWaitMs + queueMs);
	}

	/**
	 * Describes the state for {@code dump}.
	 * @param replicas all replicas
	 * @return key-value pairs that begin with a space
	 */
	String dump(Collection<ReplicaState> replicas) {
		long cold = replicas.stream().filter(this::isCold).count();
		long limited = replicas.stream().filter((replica) -> waitMs(replica) > 0).count();
		return " cold=" + cold + " coldLimited=" + limited + " coldDelays=" + this.delayedSelections;
	}

	private long remainingMs(ReplicaState replica, long nowMs) {
		ColdState state = this.states.get(replica.upstream().id());
		ColdStart coldStart = (state != null) ? coldStart(replica.upstream()) : null;
		return (state != null && coldStart != null) ? state.coldUntilMs(coldStart) - nowMs : 0;
	}

	private @Nullable ColdStart coldStart(Upstream replica) {
		ColdStart coldStart = replica.serves().isEmpty() ? null : this.services.apply(replica.serves().get(0));
		return (coldStart != null && coldStart.requestsPerSecond() > 0) ? coldStart : null;
	}

	private int share(ReplicaState replica, ColdState state, long nowMs) {
		if (nowMs >= state.shareValidUntilMs) {
			ColdStart coldStart = coldStart(replica.upstream());
			state.share = (coldStart != null)
					? this.shares.coldShareOf(replica.upstream().id(), this.tolerance.requestsPerWindow(coldStart)) : 0;
			state.shareValidUntilMs = nowMs + SHARE_PERIOD_MS;
		}
		return state.share;
	}

	/**
	 * What is known of one process of a replica.
	 */
	private static final class ColdState {

		private final long listedMs;

		private long sequence = -1;

		private @Nullable Long listedColdUntilMs;

		private long statedColdUntilMs = NEVER_MS;

		private long statedMs = NEVER_MS;

		private long settledAtMs = NEVER_MS;

		private int share;

		private long shareValidUntilMs = NEVER_MS;

		private ColdState(long listedMs) {
			this.listedMs = listedMs;
		}

		private long coldUntilMs(ColdStart coldStart) {
			Long listedUntilMs = this.listedColdUntilMs;
			return Math.max(this.statedColdUntilMs,
					(listedUntilMs != null) ? listedUntilMs : this.listedMs + coldStart.durationMs());
		}

		private boolean isStatedCold(long nowMs) {
			return nowMs < this.statedColdUntilMs;
		}

		private void setListedColdUntil(long untilMs, long nowMs) {
			if (untilMs > nowMs) {
				settleIfWarm(nowMs);
			}
			this.listedColdUntilMs = untilMs;
		}

		private void setStatedColdUntil(long untilMs, long nowMs) {
			settleIfWarm(nowMs);
			this.statedColdUntilMs = untilMs;
			this.statedMs = nowMs;
		}

		private void settleIfWarm(long nowMs) {
			Long listedUntilMs = this.listedColdUntilMs;
			boolean wasListedWarm = (listedUntilMs != null) ? listedUntilMs <= nowMs
					: nowMs - this.listedMs > SETTLING_MS;
			if (wasListedWarm && !isStatedCold(nowMs)) {
				this.settledAtMs = nowMs + SETTLING_MS;
			}
		}

		private void setWarm(long nowMs) {
			this.statedColdUntilMs = NEVER_MS;
			this.listedColdUntilMs = nowMs;
			this.statedMs = nowMs;
		}

	}

}
