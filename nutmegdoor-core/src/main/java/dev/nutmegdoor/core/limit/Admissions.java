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
 * Carries out the steps that {@link AdmissionRule} decides.
 */
final class Admissions {

	/** Longest time for which requests are refused without asking the holders again. */
	private static final long MAX_BLOCK_MS = 250;

	/**
	 * Pause between questions of an overloaded holder, whose peers are overloaded too.
	 */
	private static final long OVERLOAD_BLOCK_MS = 20;

	/** Age of balances that don't add up to the share. */
	private static final long INCOMPLETE_AGE_MS = 20;

	private static final AdmissionStep NOT_RECEIVED = new AdmissionStep(AdmissionStep.Kind.REFUSE, List.of(), 1,
			"tokens_not_received");

	private final TimerService timer;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final LocalShares book;

	private final HolderSelector selector;

	private final InitialShareAssignment assignment;

	private final LimitSettings settings;

	Admissions(TimerService timer, PeerTransport transport, MembershipView membership, LocalShares book,
			HolderSelector selector, InitialShareAssignment assignment, LimitSettings settings) {
		this.timer = timer;
		this.transport = transport;
		this.membership = membership;
		this.book = book;
		this.selector = selector;
		this.assignment = assignment;
		this.settings = settings;
	}

	AdmissionInputs inputs(WorkspaceShare share, Set<InstanceId> asked, long maxDelayMs) {
		long nowMs = this.timer.nowMs();
		Member self = this.membership.self();
		List<AdmissionPeer> peers = new ArrayList<>();
		long maxAgeMs = isComplete(share, nowMs) ? this.settings.balanceAgeMs() : INCOMPLETE_AGE_MS;
		for (Member holder : this.selector.holders(share.workspace(), share.limit().burst())) {
			if (holder.id().equals(self.id()) || !share.isResponsive(holder.id(), nowMs)) {
				continue;
			}
			PeerBalance balance = share.peers().get(holder.id());
			boolean isKnown = balance != null && nowMs - balance.atMs() <= maxAgeMs;
			boolean isSameZone = holder.availabilityZone().equals(self.availabilityZone());
			boolean isAsked = asked.contains(holder.id());
			peers.add((isKnown && balance != null)
					? new AdmissionPeer(holder.id(), isSameZone, true, balance.units(),
							balance.estimateMicro(share.limit(), nowMs), balance.isOverloaded(), isAsked)
					: new AdmissionPeer(holder.id(), isSameZone, false, 0, 0, false, isAsked));
		}
		return new AdmissionInputs(share.limit(), this.book.isLeaseValid(), share.bucket(), peers,
				share.isBlocked(nowMs), share.isOverloaded(nowMs), share.isGathering(nowMs), maxDelayMs);
	}

	// Returns whether the known balances account for most of the share. If not, units
	// have
	// moved since, and the balances soon count as unknown.
	private boolean isComplete(WorkspaceShare share, long nowMs) {
		long units = share.bucket().units();
		for (PeerBalance balance : share.peers().values()) {
			units += (nowMs - balance.atMs() <= this.settings.balanceAgeMs()) ? balance.units() : 0;
		}
		return units >= Limit.SHARE_UNITS * 9 / 10;
	}

	void step(AdmissionAttempt attempt) {
		WorkspaceShare share = this.book.share(attempt.workspace());
		AdmissionInputs inputs = inputs(share, attempt.asked(), attempt.isDelayed() ? 0 : this.settings.maxDelayMs());
		AdmissionStep step = AdmissionRule.decide(inputs);
		attempt.decided(inputs, step);
		switch (step.kind()) {
			case ADMIT -> {
				if (this.book.take(share)) {
					attempt.admit(share.bucket().tokensMicro() / Limit.TOKEN, step.rule());
				}
				else {
					attempt.refuse(this.settings.tickMs(), "lease_not_valid");
				}
			}
			case ASK -> ask(attempt, share, step.targets().get(0), step.rule());
			case GATHER -> {
				if (attempt.startGather()) {
					gather(share, step.targets());
					await(attempt, share);
				}
				else {
					refuse(attempt, share, inputs, NOT_RECEIVED);
				}
			}
			case WAIT -> {
				if (attempt.startGather()) {
					await(attempt, share);
				}
				else {
					refuse(attempt, share, inputs, NOT_RECEIVED);
				}
			}
			case DELAY -> {
				attempt.delayed();
				this.timer.schedule(Math.max(1, step.retryAfterMs()), () -> step(attempt));
			}
			case REFUSE -> refuse(attempt, share, inputs, step);
		}
	}

	private void refuse(AdmissionAttempt attempt, WorkspaceShare share, AdmissionInputs inputs, AdmissionStep step) {
		long nowMs = this.timer.nowMs();
		if (!inputs.isBlocked()) {
			long longestMs = inputs.isOverloaded() ? OVERLOAD_BLOCK_MS : MAX_BLOCK_MS;
			share.blockUntil(nowMs + Math.min(longestMs, Math.max(1, step.retryAfterMs())));
			long knownUnits = share.bucket().units();
			for (AdmissionPeer peer : inputs.peers()) {
				knownUnits += peer.units();
			}
			if (knownUnits == 0) {
				this.assignment.repair(share.workspace());
			}
		}
		attempt.refuse(Math.max(1, step.retryAfterMs()), step.rule());
	}

	private void ask(AdmissionAttempt attempt, WorkspaceShare share, InstanceId peer, String rule) {
		attempt.asked().add(peer);
		this.transport
			.request(peer, new AdmitRequest(share.workspace(), false), AdmitAnswer.class, this.settings.askTimeoutMs())
			.whenComplete((answer, error) -> {
				if (error != null) {
					share.setUnresponsive(peer, this.timer.nowMs() + this.settings.unresponsiveMs());
					step(attempt);
					return;
				}
				learn(share, peer, answer.units(), answer.tokensMicro(), answer.isOverloaded());
				if (answer.isAdmitted()) {
					attempt.admit(answer.tokensMicro() / Limit.TOKEN, rule);
				}
				else {
					step(attempt);
				}
			});
	}

	void learn(WorkspaceShare share, InstanceId peer, long units, long tokensMicro, boolean isOverloaded) {
		share.peers().put(peer, new PeerBalance(units, tokensMicro, isOverloaded, this.timer.nowMs()));
	}

	private void gather(WorkspaceShare share, List<InstanceId> givers) {
		share.gatherUntil(this.timer.nowMs() + this.settings.gatherTimeoutMs());
		long missing = Limit.TOKEN - share.bucket().tokensMicro();
		int[] outstanding = { givers.size() };
		long[] granted = { 0 };
		for (InstanceId giver : givers) {
			ShareRequest request = new ShareRequest(share.workspace(), share.bucket().units(),
					share.demand().milli(this.timer.nowMs()), missing);
			this.transport.request(giver, request, ShareAnswer.class, this.settings.askTimeoutMs())
				.whenComplete((answer, error) -> {
					outstanding[0]--;
					if (error == null) {
						granted[0] += answer.grantedUnits();
						learn(share, giver, answer.units(), answer.tokensMicro(), answer.isOverloaded());
					}
					else {
						share.setUnresponsive(giver, this.timer.nowMs() + this.settings.unresponsiveMs());
					}
					if (outstanding[0] == 0 && granted[0] == 0) {
						share.gatherUntil(this.timer.nowMs());
					}
				});
		}
	}

	private void await(AdmissionAttempt attempt, WorkspaceShare share) {
		BooleanSupplier take = () -> {
			if (attempt.isDone()) {
				return true;
			}
			boolean isTaken = this.book.take(share);
			if (isTaken) {
				attempt.admit(share.bucket().tokensMicro() / Limit.TOKEN, "gathered");
			}
			return isTaken;
		};
		share.await(take);
		this.timer.schedule(this.settings.gatherTimeoutMs(), () -> {
			if (!attempt.isDone()) {
				share.remove(take);
				step(attempt);
			}
		});
	}

	/**
	 * Hands a request to a holder of the own zone, which may ask others in turn.
	 * @param attempt the request
	 */
	void forward(AdmissionAttempt attempt) {
		WorkspaceShare share = this.book.share(attempt.workspace());
		long nowMs = this.timer.nowMs();
		List<Member> holders = this.selector.zoneHolders(share.workspace(), share.limit().burst());
		holders.removeIf(
				(holder) -> attempt.forwardedTo().contains(holder.id()) || !share.isResponsive(holder.id(), nowMs));
		boolean isUsable = share.limit().burst() > 0 && !holders.isEmpty();
		if (!isUsable) {
			step(attempt);
			return;
		}
		InstanceId holder = holders.get(attempt.pick(holders.size())).id();
		attempt.forwardedTo().add(holder);
		CompletableFuture<AdmitAnswer> answered = this.transport.request(holder,
				new AdmitRequest(share.workspace(), true), AdmitAnswer.class, this.settings.forwardTimeoutMs());
		answered.whenComplete((answer, error) -> {
			if (error != null) {
				share.setUnresponsive(holder, this.timer.nowMs() + this.settings.unresponsiveMs());
				forward(attempt);
				return;
			}
			learn(share, holder, answer.units(), answer.tokensMicro(), answer.isOverloaded());
			if (answer.isAdmitted()) {
				attempt.admit(answer.tokensMicro() / Limit.TOKEN, answer.rule());
			}
			else {
				attempt.refuse(answer.retryAfterMs(), answer.rule());
			}
		});
	}

}
