package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Executes the steps that {@link AdmissionRule} decides. Runs on the control thread.
 */
final class AdmissionExecutor {

	/**
	 * Maximum time for which requests are rejected without querying the holders again.
	 */
	private static final long MAX_BLOCK_MS = 250;

	/**
	 * Replaces {@link #MAX_BLOCK_MS} on an overloaded holder, whose peers are usually
	 * overloaded too.
	 */
	private static final long OVERLOAD_BLOCK_MS = 20;

	/** Age up to which balances are used while they do not add up to the share. */
	private static final long INCOMPLETE_AGE_MS = 20;

	private static final AdmissionStep TOKENS_NOT_RECEIVED = new AdmissionStep(AdmissionStep.Kind.REFUSE, List.of(), 1,
			"tokens_not_received");

	private final TimerService timer;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final LocalShares localShares;

	private final HolderSelector selector;

	private final InitialShareAssignment assignment;

	private final LimitSettings settings;

	AdmissionExecutor(TimerService timer, PeerTransport transport, MembershipView membership, LocalShares localShares,
			HolderSelector selector, InitialShareAssignment assignment, LimitSettings settings) {
		this.timer = timer;
		this.transport = transport;
		this.membership = membership;
		this.localShares = localShares;
		this.selector = selector;
		this.assignment = assignment;
		this.settings = settings;
	}

	AdmissionInputs inputs(WorkspaceShare share, Set<InstanceId> queriedPeers, long maxDelayMs) {
		long nowMs = this.timer.nowMs();
		Member self = this.membership.self();
		List<AdmissionPeer> peers = new ArrayList<>();
		long maxAgeMs = areBalancesComplete(share, nowMs) ? this.settings.balanceAgeMs() : INCOMPLETE_AGE_MS;
		for (Member holder : this.selector.holders(share.workspace(), share.limit().burst())) {
			if (holder.id().equals(self.id()) || !share.isResponsive(holder.id(), nowMs)) {
				continue;
			}
			PeerBalance balance = share.peerBalances().get(holder.id());
			boolean isKnown = balance != null && nowMs - balance.atMs() <= maxAgeMs;
			boolean isSameZone = holder.availabilityZone().equals(self.availabilityZone());
			boolean isAsked = queriedPeers.contains(holder.id());
			peers.add((isKnown && balance != null)
					? new AdmissionPeer(holder.id(), isSameZone, true, balance.units(),
							balance.estimateMicro(share.limit(), nowMs), balance.isOverloaded(), isAsked)
					: new AdmissionPeer(holder.id(), isSameZone, false, 0, 0, false, isAsked));
		}
		return new AdmissionInputs(share.limit(), this.localShares.isLeaseValid(), share.bucket(), peers,
				share.isBlocked(nowMs), share.isOverloaded(nowMs), share.isGathering(nowMs), maxDelayMs);
	}

	// Whether the known balances account for at least nine tenths of the share. If not,
	// units have moved since, and the balances are treated as unknown after
	// INCOMPLETE_AGE_MS.
	private boolean areBalancesComplete(WorkspaceShare share, long nowMs) {
		long units = share.bucket().units();
		for (PeerBalance balance : share.peerBalances().values()) {
			units += (nowMs - balance.atMs() <= this.settings.balanceAgeMs()) ? balance.units() : 0;
		}
		return units >= Limit.SHARE_UNITS * 9 / 10;
	}

	void runStep(AdmissionAttempt attempt) {
		WorkspaceShare share = this.localShares.share(attempt.workspace());
		AdmissionInputs inputs = inputs(share, attempt.queriedPeers(),
				attempt.isDelayed() ? 0 : this.settings.maxDelayMs());
		AdmissionStep step = AdmissionRule.decide(inputs);
		attempt.recordDecision(inputs, step);
		switch (step.kind()) {
			case ADMIT -> {
				if (this.localShares.takeToken(share)) {
					attempt.admit(share.bucket().tokensMicro() / Limit.MICRO_PER_TOKEN, step.rule());
				}
				else {
					attempt.reject(this.settings.tickMs(), "lease_not_valid");
				}
			}
			case ASK -> queryHolder(attempt, share, step.targets().get(0), step.rule());
			case GATHER -> {
				if (attempt.tryStartTokenWait()) {
					requestTokens(share, step.targets());
					awaitTokens(attempt, share);
				}
				else {
					reject(attempt, share, inputs, TOKENS_NOT_RECEIVED);
				}
			}
			case WAIT -> {
				if (attempt.tryStartTokenWait()) {
					awaitTokens(attempt, share);
				}
				else {
					reject(attempt, share, inputs, TOKENS_NOT_RECEIVED);
				}
			}
			case DELAY -> {
				attempt.markDelayed();
				this.timer.schedule(Math.max(1, step.retryAfterMs()), () -> runStep(attempt));
			}
			case REFUSE -> reject(attempt, share, inputs, step);
		}
	}

	private void reject(AdmissionAttempt attempt, WorkspaceShare share, AdmissionInputs inputs, AdmissionStep step) {
		long nowMs = this.timer.nowMs();
		if (!inputs.isBlocked()) {
			long maxBlockMs = inputs.isOverloaded() ? OVERLOAD_BLOCK_MS : MAX_BLOCK_MS;
			share.setBlockedUntilMs(nowMs + Math.min(maxBlockMs, Math.max(1, step.retryAfterMs())));
			long knownUnits = share.bucket().units();
			for (AdmissionPeer peer : inputs.peers()) {
				knownUnits += peer.units();
			}
			if (knownUnits == 0) {
				this.assignment.repair(share.workspace());
			}
		}
		attempt.reject(Math.max(1, step.retryAfterMs()), step.rule());
	}

	private void queryHolder(AdmissionAttempt attempt, WorkspaceShare share, InstanceId peer, String rule) {
		attempt.queriedPeers().add(peer);
		this.transport
			.request(peer, new AdmitRequest(share.workspace(), false), AdmitAnswer.class, this.settings.askTimeoutMs())
			.whenComplete((answer, error) -> {
				if (error != null) {
					share.setUnresponsive(peer, this.timer.nowMs() + this.settings.unresponsiveMs());
					runStep(attempt);
					return;
				}
				recordPeerBalance(share, peer, answer.units(), answer.tokensMicro(), answer.isOverloaded());
				if (answer.isAdmitted()) {
					attempt.admit(answer.tokensMicro() / Limit.MICRO_PER_TOKEN, rule);
				}
				else {
					runStep(attempt);
				}
			});
	}

	void recordPeerBalance(WorkspaceShare share, InstanceId peer, long units, long tokensMicro, boolean isOverloaded) {
		share.peerBalances().put(peer, new PeerBalance(units, tokensMicro, isOverloaded, this.timer.nowMs()));
	}

	private void requestTokens(WorkspaceShare share, List<InstanceId> donors) {
		share.setGatherUntilMs(this.timer.nowMs() + this.settings.gatherTimeoutMs());
		long missingMicro = Limit.MICRO_PER_TOKEN - share.bucket().tokensMicro();
		int[] pendingResponses = { donors.size() };
		long[] grantedUnits = { 0 };
		for (InstanceId donor : donors) {
			ShareRequest request = new ShareRequest(share.workspace(), share.bucket().units(),
					share.demand().rateMilli(this.timer.nowMs()), missingMicro);
			this.transport.request(donor, request, ShareAnswer.class, this.settings.askTimeoutMs())
				.whenComplete((answer, error) -> {
					pendingResponses[0]--;
					if (error == null) {
						grantedUnits[0] += answer.grantedUnits();
						recordPeerBalance(share, donor, answer.units(), answer.tokensMicro(), answer.isOverloaded());
					}
					else {
						share.setUnresponsive(donor, this.timer.nowMs() + this.settings.unresponsiveMs());
					}
					if (pendingResponses[0] == 0 && grantedUnits[0] == 0) {
						share.setGatherUntilMs(this.timer.nowMs());
					}
				});
		}
	}

	private void awaitTokens(AdmissionAttempt attempt, WorkspaceShare share) {
		BooleanSupplier tryTake = () -> {
			if (attempt.isDone()) {
				return true;
			}
			boolean isTaken = this.localShares.takeToken(share);
			if (isTaken) {
				attempt.admit(share.bucket().tokensMicro() / Limit.MICRO_PER_TOKEN, "gathered");
			}
			return isTaken;
		};
		share.addWaiter(tryTake);
		this.timer.schedule(this.settings.gatherTimeoutMs(), () -> {
			if (!attempt.isDone()) {
				share.removeWaiter(tryTake);
				runStep(attempt);
			}
		});
	}

	/**
	 * Forwards a request to a random holder of the own zone, which may query others in
	 * turn. Tries the responsive holders one after the other and decides locally if none
	 * responds.
	 * @param attempt admission to complete
	 */
	void forward(AdmissionAttempt attempt) {
		WorkspaceShare share = this.localShares.share(attempt.workspace());
		long nowMs = this.timer.nowMs();
		List<Member> holders = this.selector.holdersInOwnZone(share.workspace(), share.limit().burst());
		holders.removeIf(
				(holder) -> attempt.forwardedTo().contains(holder.id()) || !share.isResponsive(holder.id(), nowMs));
		boolean canForward = share.limit().burst() > 0 && !holders.isEmpty();
		if (!canForward) {
			runStep(attempt);
			return;
		}
		InstanceId holder = holders.get(attempt.randomIndex(holders.size())).id();
		attempt.forwardedTo().add(holder);
		CompletableFuture<AdmitAnswer> response = this.transport.request(holder,
				new AdmitRequest(share.workspace(), true), AdmitAnswer.class, this.settings.forwardTimeoutMs());
		response.whenComplete((answer, error) -> {
			if (error != null) {
				share.setUnresponsive(holder, this.timer.nowMs() + this.settings.unresponsiveMs());
				forward(attempt);
				return;
			}
			recordPeerBalance(share, holder, answer.units(), answer.tokensMicro(), answer.isOverloaded());
			if (answer.isAdmitted()) {
				attempt.admit(answer.tokensMicro() / Limit.MICRO_PER_TOKEN, answer.rule());
			}
			else {
				attempt.reject(answer.retryAfterMs(), answer.rule());
			}
		});
	}

}
