package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.openhft.hashing.LongHashFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Holds the state of all replicas, grouped by pool, and creates the input of
 * {@link Placement}. The cost of creating an input does not grow with the number of
 * replicas: for a large pool it contains the replicas that hold the prefix of the program
 * and a random sample. Not thread-safe.
 */
public final class ReplicaIndex {

	/**
	 * In a pool of at most this size, all replicas are candidates; from a larger pool, at
	 * most this number is drawn at random, in addition to the replicas that hold the
	 * prompt.
	 */
	private static final int SAMPLE_SIZE = 12;

	/**
	 * Maximum number of replicas that are candidates because they hold the longest known
	 * prefix of a prompt. A history has one or two holders, a shared part has many.
	 */
	private static final int MAX_HOLDERS = 4;

	/**
	 * Typical age of a cache event in milliseconds; more recent records of this instance
	 * take precedence over an event.
	 */
	private static final long EVENT_LAG_MS = 1_500;

	/**
	 * Modelled duration of a call without tokens in milliseconds; the speed factors of
	 * the replicas of a pool contain the deviation.
	 */
	private static final double MODELLED_CALL_MS = 150;

	private static final int USUAL_WORK_PERCENT = 100;

	private final Map<UpstreamId, ReplicaState> replicas = new LinkedHashMap<>();

	private final Map<String, List<ReplicaState>> replicasByPool = new HashMap<>();

	private final ObservedLoads unsharedLoads = new ObservedLoads();

	private final CacheView cache = new CacheView();

	private final OutlierDetector outliers = new OutlierDetector();

	/**
	 * Additional cost in milliseconds of a replica in an unreachable zone: about the time
	 * that a call loses there. Reachable replicas are used, including their queues, until
	 * their cost exceeds it.
	 */
	private static final double UNREACHABLE_COST_MS = 1_000;

	private final DeclaredRates declaredRates;

	private final WorkTimes workTimes;

	private final ZoneReachability zones;

	private final AvailabilityZone ownZone;

	private final double zoneCrossingMs;

	private final PlacementCosts costs;

	private final TimerService timer;

	private final UniformRandomProvider random;

	/**
	 * Additional cost in milliseconds of a cold replica, which is slow to an unknown
	 * degree: a warm one is used until its queue costs more than about one call.
	 */
	private static final double COLD_COST_MS = 100;

	private @Nullable ColdReplicas coldReplicas;

	/** Assumed for replicas that state nothing; {@code null} if they are not timed. */
	private @Nullable Integer usualWorkPercent;

	private int instances = 1;

	/**
	 * Creates an empty index.
	 * @param ownZone availability zone of this instance
	 * @param zoneCrossingMs additional round-trip time to another zone in milliseconds
	 * @param costs cost model of the replicas
	 * @param timer clock for the age of reports and calls
	 * @param random seeded generator for samples and tie-breaking
	 * @param events log of zones that become unreachable or reachable
	 */
	public ReplicaIndex(AvailabilityZone ownZone, double zoneCrossingMs, PlacementCosts costs, TimerService timer,
			UniformRandomProvider random, EventLog events) {
		this(ownZone, zoneCrossingMs, costs, timer, random, events, RateShares.ofSingleInstance());
	}

	/**
	 * Creates an empty index of an instance that is one of several.
	 * @param ownZone availability zone of this instance
	 * @param zoneCrossingMs additional round-trip time to another zone in milliseconds
	 * @param costs cost model of the replicas
	 * @param timer clock for the age of reports and calls
	 * @param random seeded generator for samples and tie-breaking
	 * @param events log of zones that become unreachable or reachable, and of rates that
	 * replicas declare
	 * @param rateShares divides such rates between the instances
	 */
	public ReplicaIndex(AvailabilityZone ownZone, double zoneCrossingMs, PlacementCosts costs, TimerService timer,
			UniformRandomProvider random, EventLog events, RateShares rateShares) {
		this.declaredRates = new DeclaredRates(rateShares, timer, random, events);
		this.workTimes = new WorkTimes(events);
		this.ownZone = ownZone;
		this.zones = new ZoneReachability(ownZone, events);
		this.zoneCrossingMs = zoneCrossingMs;
		this.costs = costs;
		this.timer = timer;
		this.random = random;
	}

	/**
	 * Learns the times of all replicas from now on. One that reports a load but does not
	 * state how long work takes counts as one where it takes as long as usual.
	 */
	public void learnAllWorkTimes() {
		this.usualWorkPercent = USUAL_WORK_PERCENT;
	}

	/**
	 * Limits the calls to cold replicas from now on.
	 * @param rules rules that the index informs of the replicas
	 */
	public void limitCold(ColdReplicas rules) {
		this.coldReplicas = rules;
		rules.retain(this.replicas.keySet());
	}

	/**
	 * Replaces the upstreams by those of a configuration. Upstreams that are leaving
	 * receive no new calls.
	 * @param upstreams upstreams by identifier
	 */
	public void setUpstreams(Map<UpstreamId, Upstream> upstreams) {
		this.replicas.keySet().retainAll(upstreams.keySet());
		for (Upstream upstream : upstreams.values()) {
			this.replicas.computeIfAbsent(upstream.id(), (id) -> new ReplicaState(upstream)).setUpstream(upstream);
		}
		if (this.coldReplicas != null) {
			this.coldReplicas.retain(this.replicas.keySet());
		}
		this.replicasByPool.clear();
		List<UpstreamId> ordered = new ArrayList<>(this.replicas.keySet());
		ordered.sort(null);
		for (UpstreamId id : ordered) {
			ReplicaState state = this.replicas.get(id);
			if (state == null || state.upstream().isLeaving()) {
				continue;
			}
			for (String name : state.upstream().serves()) {
				String pool = poolOf(state.upstream().kind(), name);
				this.replicasByPool.computeIfAbsent(pool, (key) -> new ArrayList<>()).add(state);
				this.replicasByPool
					.computeIfAbsent(poolOf(pool, state.upstream().softwareVersion()), (key) -> new ArrayList<>())
					.add(state);
			}
		}
	}

	/**
	 * Returns the name of the pool of replicas that can run the same calls.
	 * @param kind kind of the replicas
	 * @param name name of the model or the service
	 * @return the name, prefixed with the kind
	 */
	public static String poolOf(UpstreamKind kind, String name) {
		return ((kind == UpstreamKind.MODEL_ENGINE) ? "model:" : "service:") + name;
	}

	/**
	 * Returns the name of the part of a pool that consists of the replicas of one
	 * software version.
	 * @param pool name of the pool
	 * @param softwareVersion version, or {@code null} for replicas that state none
	 * @return the name of the pool with the version
	 */
	public static String poolOf(String pool, @Nullable String softwareVersion) {
		return pool + "@" + ((softwareVersion != null) ? softwareVersion : "");
	}

	public void setInstances(int instances) {
		this.instances = Math.max(1, instances);
	}

	/**
	 * Returns the load of the least loaded replica of a pool. A replica that may get no
	 * call now, because of the rate that it has declared, counts as busy.
	 * @param pool name of the pool
	 * @return number of calls in flight divided by the number of slots; above 1 if calls
	 * are queued at all replicas, 0 if the pool is empty
	 */
	public double leastLoad(String pool) {
		long nowMs = this.timer.nowMs();
		List<ReplicaState> poolReplicas = this.replicasByPool.getOrDefault(pool, List.of());
		List<ReplicaState> usable = usable(poolReplicas);
		return (usable.isEmpty() ? poolReplicas : usable).stream().mapToDouble((state) -> {
			double missingTokens = state.declaredRate().missingTokens(nowMs);
			return (missingTokens > 0) ? Math.max(state.load(nowMs), 1 + missingTokens) : state.load(nowMs);
		}).min().orElse(0);
	}

	/**
	 * Returns the time until a replica of a pool may get a call by the rates that the
	 * replicas have declared.
	 * @param pool name of the pool
	 * @return milliseconds, 0 if one may get a call now
	 */
	public double rateWaitMs(String pool) {
		long nowMs = this.timer.nowMs();
		return this.replicasByPool.getOrDefault(pool, List.of())
			.stream()
			.mapToDouble((state) -> state.declaredRate().waitMs(nowMs))
			.min()
			.orElse(0);
	}

	/**
	 * Returns the time until a replica of a pool may get a further call, if all of them
	 * are cold and have as many calls as they may get now.
	 * @param pool name of the pool
	 * @param queuedCalls number of calls that wait for the pool already
	 * @return milliseconds, 0 if a replica may get a call now
	 */
	public double coldWaitMs(String pool, int queuedCalls) {
		return (this.coldReplicas != null)
				? this.coldReplicas.waitMs(this.replicasByPool.getOrDefault(pool, List.of()), queuedCalls) : 0;
	}

	private List<ReplicaState> usable(List<ReplicaState> poolReplicas) {
		return (this.coldReplicas != null) ? this.coldReplicas.usable(poolReplicas) : poolReplicas;
	}

	/**
	 * Applies what a replica has stated in a response about being cold.
	 * @param id the replica
	 * @param coldMs time in milliseconds for which it remains cold, 0 if it is warm
	 * @param sentMs time in milliseconds at which the call was sent
	 */
	public void coldStated(UpstreamId id, long coldMs, long sentMs) {
		if (this.coldReplicas != null) {
			this.coldReplicas.stated(id, coldMs, sentMs);
		}
	}

	public boolean hasPool(String pool) {
		return this.replicasByPool.containsKey(pool);
	}

	/**
	 * Creates the input for the placement of a call.
	 * @param pool name of the pool
	 * @param prompt parts of the prompt; empty for a call without a prompt
	 * @param answerTokens expected number of tokens of the answer
	 * @param waitedMs time that the call has waited in the queue in milliseconds
	 * @param excluded replicas that have already failed the call
	 * @return an immutable input, without replicas that may get no call now because of
	 * the rate that they have declared
	 */
	public PlacementInput collect(String pool, List<PromptPart> prompt, int answerTokens, long waitedMs,
			Set<UpstreamId> excluded) {
		List<ReplicaState> poolReplicas = this.replicasByPool.getOrDefault(pool, List.of());
		ReplicaState assumedHolder = findAssumedHolder(poolReplicas, prompt);
		List<ReplicaState> usable = usable(poolReplicas);
		List<ReplicaState> candidates = selectCandidates(usable, prompt,
				(usable == poolReplicas || usable.contains(assumedHolder)) ? assumedHolder : null, excluded);
		int promptTokens = PromptPart.tokensOf(prompt);
		boolean isTimed = false;
		List<ReplicaView> views = new ArrayList<>(candidates.size());
		for (ReplicaState state : candidates) {
			boolean isWithinRate = state.declaredRate().missingTokens(this.timer.nowMs()) == 0;
			if (isWithinRate && !excluded.contains(state.upstream().id())) {
				views.add(toView(state, prompt, state == assumedHolder));
				isTimed |= state.workTime().isStated();
			}
		}
		return new PlacementInput(pool, promptTokens, answerTokens, waitedMs, this.instances, this.random.nextLong(),
				this.costs, views, poolReplicas.size() - candidates.size(),
				isTimed ? this.workTimes.ofPool(poolOf(candidates.get(0).upstream()), MODELLED_CALL_MS) : null);
	}

	/**
	 * Reserves a slot for a call that is about to be sent.
	 * @param id the replica
	 * @param prefillTokens number of prompt tokens that are not expected to be cached
	 * @return the reservation, or {@code null} if there is no such replica
	 */
	public @Nullable Reservation reserve(UpstreamId id, int prefillTokens) {
		ReplicaState state = this.replicas.get(id);
		if (state == null) {
			return null;
		}
		this.zones.recordCall(state.upstream().availabilityZone(), this.timer.nowMs());
		return new Reservation(state, state.startCall(this.timer.nowMs(), prefillTokens));
	}

	/**
	 * Releases the slot of a successful call and records its duration and the cached
	 * prompt.
	 * @param reservation slot of the call
	 * @param prompt parts that the replica has cached now
	 * @param actualMs time that the answer took in milliseconds
	 * @param expectedMs time that the answer was expected to take in milliseconds
	 */
	public void recordAnswer(Reservation reservation, List<PromptPart> prompt, double actualMs, double expectedMs) {
		Upstream upstream = release(reservation);
		this.zones.recordAnswer(upstream.availabilityZone(), this.timer.nowMs());
		for (PromptPart part : prompt) {
			if (!part.id().isEmpty()) {
				this.cache.recordPrefix(part.id(), upstream.id(), part.tokens(), this.timer.nowMs());
			}
		}
		if (isCold(reservation.replica())) {
			return;
		}
		ReplicaState replica = reservation.replica();
		double toleratedFactor = replica.workTime().isStated()
				? this.workTimes.toleratedFactor(poolOf(upstream), replica, this.timer.nowMs()) : 1;
		this.outliers.recordAnswer(upstream.id(), poolOf(upstream), actualMs, expectedMs * toleratedFactor,
				poolSize(upstream), this.timer.nowMs());
	}

	/**
	 * Learns the speed of a replica that states how long work takes from the generation
	 * of an answer; does nothing for others.
	 * @param reservation slot of the call
	 * @param actualMs time from the first output to the end in milliseconds
	 * @param tokens number of tokens that were generated in that time
	 * @param runningCalls number of calls that the replica ran
	 */
	public void recordGeneration(Reservation reservation, double actualMs, int tokens, int runningCalls) {
		double stepMs = this.costs.stepBaseMs() + this.costs.stepPerCallMs() * Math.max(1, runningCalls);
		learnSpeed(reservation, actualMs, tokens * stepMs, false);
	}

	/**
	 * Learns the speed of a replica that states how long work takes from a call without
	 * tokens; does nothing for others.
	 * @param reservation slot of the call
	 * @param actualMs duration of the call in milliseconds
	 */
	public void recordServiceCall(Reservation reservation, double actualMs) {
		learnSpeed(reservation, actualMs, MODELLED_CALL_MS, true);
	}

	private void learnSpeed(Reservation reservation, double actualMs, double modelledMs, boolean isCall) {
		ReplicaState replica = reservation.replica();
		if (replica.workTime().isStated() && !isCold(replica)) {
			DurationSample sample = this.workTimes.answered(poolOf(replica.upstream()), replica, actualMs, modelledMs,
					isCall, this.timer.nowMs());
			if (sample != null) {
				this.unsharedLoads.addSpeed(replica.upstream().id(), sample);
			}
		}
	}

	/**
	 * Learns the time of a prefill at a replica that states how long work takes; does
	 * nothing for others.
	 * @param reservation slot of the call
	 * @param firstOutputMs time from the send to the first output in milliseconds
	 */
	public void recordPrefill(Reservation reservation, double firstOutputMs) {
		ReplicaState replica = reservation.replica();
		if (replica.workTime().isStated() && !isCold(replica)) {
			int tokens = reservation.call().prefillTokens();
			double stepMs = this.costs.stepBaseMs() + this.costs.stepPerCallMs();
			this.workTimes.outputStarted(poolOf(replica.upstream()), replica, firstOutputMs - stepMs, tokens,
					tokens * this.costs.prefillPerTokenMs(), this.timer.nowMs());
		}
	}

	public WorkTimes workTimes() {
		return this.workTimes;
	}

	/**
	 * Returns whether a replica is cold.
	 * @param id the replica
	 * @return {@code false} also if there is no such replica
	 */
	public boolean isCold(UpstreamId id) {
		ReplicaState state = this.replicas.get(id);
		return state != null && isCold(state);
	}

	private boolean isCold(ReplicaState state) {
		return this.coldReplicas != null && this.coldReplicas.isCold(state);
	}

	/**
	 * Records that a replica has started to answer a call.
	 * @param reservation slot of the call
	 */
	public void recordAnswerStarted(Reservation reservation) {
		reservation.markOutputStarted();
		reservation.call().markAnswered(this.timer.nowMs());
		this.zones.recordAnswer(reservation.upstream().availabilityZone(), this.timer.nowMs());
	}

	/**
	 * Records that a replica is unresponsive: it does not accept a connection, or does
	 * not respond to a request within the expected time.
	 * @param reservation slot of the call
	 * @param sinceMs time in milliseconds since which there has been no response
	 */
	public void recordNoResponse(Reservation reservation, long sinceMs) {
		Upstream upstream = reservation.upstream();
		this.zones.recordNoResponse(upstream.availabilityZone(), reservation.call(), sinceMs, this.timer.nowMs());
	}

	/**
	 * Releases the slot of a call that has failed at the replica and records the failure.
	 * @param reservation slot of the call
	 */
	public void recordFailure(Reservation reservation) {
		Upstream upstream = release(reservation);
		this.outliers.recordFailure(upstream.id(), poolSize(upstream), this.timer.nowMs());
	}

	/**
	 * Releases the slot of a call without recording a success or a failure.
	 * @param reservation slot of the call
	 * @return the replica that ran the call
	 */
	public Upstream release(Reservation reservation) {
		reservation.replica().endCall(reservation.call(), this.timer.nowMs());
		return reservation.upstream();
	}

	/**
	 * Releases the slot of a call that was cancelled. The replica may still receive it.
	 * @param reservation slot of the call
	 */
	public void releaseCancelled(Reservation reservation) {
		reservation.call().markCancelled();
		release(reservation);
	}

	/**
	 * Applies a load report; ignored if there is no such replica.
	 * @param id the replica
	 * @param report the report
	 */
	public void reportReceived(UpstreamId id, LoadReport report) {
		reportReceived(id, report, null);
	}

	/**
	 * Applies a load report and what the response states about the time of work; ignored
	 * if there is no such replica.
	 * @param id the replica
	 * @param report the report
	 * @param workPercent how long work takes at this moment, in per cent of the usual
	 * time, or {@code null} if the response does not state that
	 */
	public void reportReceived(UpstreamId id, LoadReport report, @Nullable Integer workPercent) {
		Integer percent = (workPercent != null) ? workPercent : this.usualWorkPercent;
		ReplicaState state = this.replicas.get(id);
		if (state != null) {
			state.applyReport(report, this.timer.nowMs());
			this.workTimes.stated(state, percent, this.timer.nowMs() - report.ageMs());
			this.unsharedLoads.add(
					List.of(new ObservedLoad(id, report.runningCalls() + report.waitingCalls(), report.ageMs(),
							state.declaredRate().requestsPerSecond(this.timer.nowMs()), percent, null, null)),
					this.timer.nowMs());
		}
	}

	/**
	 * Applies the rate of requests that a replica has declared in an answer.
	 * @param id the replica; ignored if there is no such replica
	 * @param requestsPerSecond rate that it accepts from all instances together
	 */
	public void rateDeclared(UpstreamId id, double requestsPerSecond) {
		ReplicaState state = this.replicas.get(id);
		if (state != null) {
			this.declaredRates.declare(state, requestsPerSecond, this.timer.nowMs());
		}
	}

	/**
	 * Ends the limit of a replica that has answered without declaring a rate.
	 * @param id the replica; ignored if there is no such replica
	 * @param sentMs time in milliseconds at which the call was sent; answers may overtake
	 * each other, so a rate that was declared later remains in force
	 */
	public void rateNotDeclared(UpstreamId id, long sentMs) {
		ReplicaState state = this.replicas.get(id);
		if (state != null) {
			this.declaredRates.withdraw(state, sentMs);
		}
	}

	/**
	 * Returns the loads that this instance has observed since the last call of this
	 * method, for other instances.
	 * @return the last load of each observed replica
	 */
	public List<ObservedLoad> takeObservedLoads() {
		return this.unsharedLoads.drain(this.timer.nowMs());
	}

	/**
	 * Applies loads that other instances have observed. An instance of a large deployment
	 * sends so few calls that its own observations are seconds old.
	 * @param loads loads of any replicas; unknown ones are ignored
	 */
	public void loadsObservedElsewhere(List<ObservedLoad> loads) {
		for (ObservedLoad load : loads) {
			ReplicaState state = this.replicas.get(load.replica());
			if (state != null) {
				long measuredMs = this.timer.nowMs() - load.ageMs();
				state.applyObserved(load.calls(), measuredMs);
				this.declaredRates.observedElsewhere(state, load.requestsPerSecond(), measuredMs);
				state.workTime().statedElsewhere(load.workPercent(), measuredMs);
				DurationSample sample = load.speedSample();
				if (sample != null) {
					this.workTimes.apply(poolOf(state.upstream()), state, sample, this.timer.nowMs());
				}
			}
		}
	}

	/**
	 * Applies cache events.
	 * @param id the replica
	 * @param events events in ascending order of their sequence numbers
	 */
	public void eventsReceived(UpstreamId id, List<CacheEvent> events) {
		this.cache.apply(id, events, this.timer.nowMs(), EVENT_LAG_MS);
	}

	/**
	 * Sets the number of calls that all peers together have in flight at a replica.
	 * @param id the replica
	 * @param calls number of calls
	 * @param ageMs age of the oldest count in the sum in milliseconds
	 */
	public void setPeersInFlight(UpstreamId id, int calls, long ageMs) {
		ReplicaState state = this.replicas.get(id);
		if (state != null) {
			state.setOthersInFlight(calls, this.timer.nowMs() - ageMs);
		}
	}

	/**
	 * Returns the number of calls of this instance in flight at each replica, which
	 * heartbeats report to peers.
	 * @return number of calls by replica, without replicas that have none
	 */
	public Map<UpstreamId, Integer> inFlight() {
		Map<UpstreamId, Integer> counts = new HashMap<>();
		this.replicas.forEach((id, state) -> {
			if (state.ownInFlight() > 0) {
				counts.put(id, state.ownInFlight());
			}
		});
		return counts;
	}

	public List<UpstreamId> holders(String owner) {
		return this.cache.holders(owner);
	}

	/**
	 * Returns the number of tokens of a prompt that a replica is expected to have cached.
	 * @param prompt parts of the prompt
	 * @param id the replica
	 * @return number of tokens of the leading parts that the replica holds
	 */
	public int cachedTokens(List<PromptPart> prompt, UpstreamId id) {
		int cachedTokens = 0;
		for (PromptPart part : prompt) {
			int cachedPartTokens = part.id().isEmpty() ? 0 : Math.min(part.tokens(), this.cache.tokens(part.id(), id));
			cachedTokens += cachedPartTokens;
			if (cachedPartTokens < part.tokens()) {
				break;
			}
		}
		return cachedTokens;
	}

	/**
	 * Discards the recorded state of a replica that has restarted: its cache is empty,
	 * and its load and its failures belong to the previous process.
	 * @param id the replica
	 */
	public void resetReplica(UpstreamId id) {
		this.cache.removeReplica(id);
		this.outliers.remove(id);
		ReplicaState state = this.replicas.get(id);
		if (state != null) {
			state.reset(this.timer.nowMs());
		}
	}

	public long lastEventSequence(UpstreamId id) {
		return this.cache.lastSequence(id);
	}

	public void removeOwner(String owner) {
		this.cache.removeOwner(owner);
	}

	public @Nullable Upstream upstream(UpstreamId id) {
		ReplicaState state = this.replicas.get(id);
		return (state != null) ? state.upstream() : null;
	}

	/**
	 * Describes the state for {@code dump}.
	 * @return one line of key-value pairs
	 */
	public String dump() {
		return "replicas=" + this.replicas.size() + " pools=" + this.replicasByPool.size() + " inFlight="
				+ this.replicas.values().stream().mapToInt(ReplicaState::ownInFlight).sum() + " ejected="
				+ this.outliers.ejectedReplicaCount(this.timer.nowMs()) + " cachedPrograms=" + this.cache.ownerCount()
				+ " lostCacheEvents=" + this.cache.lostEventCount() + " " + this.workTimes.dump()
				+ ((this.coldReplicas != null) ? this.coldReplicas.dump(this.replicas.values()) : "");
	}

	private boolean isInReach(ReplicaState state) {
		return this.zones.isReachable(state.upstream().availabilityZone(), this.timer.nowMs());
	}

	private double crossingMs(Upstream upstream) {
		return upstream.availabilityZone().equals(this.ownZone) ? 0 : this.zoneCrossingMs;
	}

	private static String poolOf(Upstream upstream) {
		return poolOf(upstream.kind(), upstream.serves().isEmpty() ? "" : upstream.serves().get(0));
	}

	private int poolSize(Upstream upstream) {
		return this.replicasByPool.getOrDefault(poolOf(upstream), List.of()).size();
	}

	private List<ReplicaState> selectCandidates(List<ReplicaState> poolReplicas, List<PromptPart> prompt,
			@Nullable ReplicaState assumedHolder, Set<UpstreamId> excluded) {
		if (poolReplicas.size() <= SAMPLE_SIZE) {
			return poolReplicas;
		}
		List<ReplicaState> selected = new ArrayList<>(SAMPLE_SIZE + MAX_HOLDERS + 1);
		if (assumedHolder != null) {
			selected.add(assumedHolder);
		}
		for (UpstreamId holder : holdersOfLongestPrefix(prompt)) {
			ReplicaState state = this.replicas.get(holder);
			if (state != null && !selected.contains(state) && poolReplicas.contains(state)) {
				selected.add(state);
			}
			if (selected.size() > MAX_HOLDERS) {
				break;
			}
		}
		if (poolReplicas.stream().anyMatch((state) -> state.workTime().isStated())) {
			TimedSample
				.draw(poolReplicas,
						(state) -> !selected.contains(state) && isUsable(state, excluded) && isInReach(state),
						this.ownZone, this.random)
				.forEach(selected::add);
			if (selected.isEmpty()) {
				TimedSample.draw(poolReplicas, (state) -> isUsable(state, excluded), this.ownZone, this.random)
					.forEach(selected::add);
			}
			return selected;
		}
		for (int i = 0; i < SAMPLE_SIZE; i++) {
			ReplicaState state = poolReplicas.get(this.random.nextInt(poolReplicas.size()));
			if (!selected.contains(state)) {
				selected.add(state);
			}
		}
		return selected;
	}

	private boolean isUsable(ReplicaState state, Set<UpstreamId> excluded) {
		UpstreamId id = state.upstream().id();
		long nowMs = this.timer.nowMs();
		return !excluded.contains(id) && state.declaredRate().missingTokens(nowMs) == 0
				&& !this.outliers.isEjected(id, nowMs);
	}

	// The last parts of a turn are new, so no replica holds them yet.
	private List<UpstreamId> holdersOfLongestPrefix(List<PromptPart> prompt) {
		for (int i = prompt.size() - 1; i >= 0; i--) {
			String partId = prompt.get(i).id();
			List<UpstreamId> holders = partId.isEmpty() ? List.of() : this.cache.holders(partId);
			if (!holders.isEmpty()) {
				return holders;
			}
		}
		return List.of();
	}

	// Another instance may have sent earlier turns of the same history. All instances of
	// a zone therefore assume the same replica as the holder of a history that they have
	// not sent themselves, and start it there.
	private @Nullable ReplicaState findAssumedHolder(List<ReplicaState> poolReplicas, List<PromptPart> prompt) {
		if (prompt.size() < 2) {
			return null;
		}
		String historyId = prompt.get(1).id();
		if (historyId.isEmpty() || !this.cache.holders(historyId).isEmpty()) {
			return null;
		}
		ReplicaState best = null;
		long highestWeight = Long.MIN_VALUE;
		for (ReplicaState state : poolReplicas) {
			long weight = LongHashFunction.xx().hashChars(historyId + state.upstream().id());
			if (state.upstream().availabilityZone().equals(this.ownZone) && weight >= highestWeight) {
				best = state;
				highestWeight = weight;
			}
		}
		return best;
	}

	private ReplicaView toView(ReplicaState state, List<PromptPart> prompt, boolean isAssumedHolder) {
		Upstream upstream = state.upstream();
		long nowMs = this.timer.nowMs();
		int cachedTokens = cachedTokens(prompt, upstream.id());
		// A replica can hold a history only if it also holds the shared part before
		// it.
		if (isAssumedHolder && cachedTokens >= prompt.get(0).tokens()) {
			cachedTokens = PromptPart.tokensOf(prompt);
		}
		double crossingMs = crossingMs(upstream);
		if (!this.zones.isReachable(upstream.availabilityZone(), nowMs)) {
			crossingMs += UNREACHABLE_COST_MS;
		}
		if (isCold(state)) {
			crossingMs += COLD_COST_MS;
		}
		String pool = poolOf(upstream);
		boolean isTimed = state.workTime().isStated();
		double perTokenMs = this.costs.prefillPerTokenMs()
				* (isTimed ? this.workTimes.ofPool(pool, 0).prefillFactor() : 1);
		return new ReplicaView(upstream.id(), crossingMs, state.ownInFlight(), state.othersInFlight(nowMs),
				state.othersAgeMs(nowMs), state.ownAtReport(), state.freeAtReport(),
				state.backlogTokens(nowMs, perTokenMs), cachedTokens, state.freeCacheTokens(),
				upstream.maxConcurrentCalls(), this.outliers.slowFactor(upstream.id()),
				this.outliers.isEjected(upstream.id(), nowMs), isTimed ? this.workTimes.of(pool, state, nowMs) : null);
	}

}
