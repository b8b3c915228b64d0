package dev.nutmegdoor.core.limit;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Transfers units of shares to the holders with the most demand, and away from instances
 * that are no longer holders. Runs on the control thread.
 */
final class ShareRebalancer {

	/**
	 * Minimum demand in thousandths of requests per second for which units are requested.
	 */
	private static final long MIN_DEMAND_MILLI = 50;

	private final TimerService timer;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final UniformRandomProvider random;

	private final LocalShares localShares;

	private final ShareTransfers transfers;

	private final HolderSelector selector;

	private final AdmissionExecutor admissionExecutor;

	private final LimitSettings settings;

	ShareRebalancer(TimerService timer, PeerTransport transport, MembershipView membership,
			UniformRandomProvider random, LocalShares localShares, ShareTransfers transfers, HolderSelector selector,
			AdmissionExecutor admissionExecutor, LimitSettings settings) {
		this.timer = timer;
		this.transport = transport;
		this.membership = membership;
		this.random = random;
		this.localShares = localShares;
		this.transfers = transfers;
		this.selector = selector;
		this.admissionExecutor = admissionExecutor;
		this.settings = settings;
	}

	/**
	 * Requests units for each workspace whose local demand is close to its share, and
	 * transfers the units of each workspace that this instance should not hold.
	 */
	void rebalance() {
		if (!this.localShares.isLeaseValid()) {
			return;
		}
		for (WorkspaceShare heldShare : this.localShares.shares()) {
			WorkspaceShare share = this.localShares.share(heldShare.workspace());
			int burst = share.limit().burst();
			if (burst == 0) {
				continue;
			}
			if (!this.selector.isHolder(share.workspace(), burst)) {
				transferAll(share);
			}
			else if (needsMoreUnits(share)) {
				requestUnits(share);
			}
		}
	}

	/**
	 * Transfers all units of a workspace to a random other holder, preferably in the own
	 * zone. Does nothing if there is no other holder.
	 * @param share state of the workspace
	 */
	void transferAll(WorkspaceShare share) {
		long units = share.bucket().units();
		if (units == 0) {
			return;
		}
		List<Member> holders = this.selector.holdersInOwnZone(share.workspace(), share.limit().burst());
		if (holders.isEmpty()) {
			holders = this.selector.holders(share.workspace(), share.limit().burst());
		}
		holders = holders.stream().filter((holder) -> !holder.id().equals(this.transport.self())).toList();
		if (!holders.isEmpty()) {
			InstanceId receiver = holders.get(this.random.nextInt(holders.size())).id();
			this.transfers.startTransfer(share, receiver, units, share.bucket().tokensMicro());
		}
	}

	CompletableFuture<ShareAnswer> handleShareRequest(InstanceId from, ShareRequest request) {
		WorkspaceShare share = this.localShares.share(request.workspace());
		long grantedUnits = 0;
		if (this.localShares.isLeaseValid() && share.bucket().units() > 0) {
			grantedUnits = (request.tokensMicro() > 0) ? transferTokens(share, from, request)
					: transferUnits(share, from, request);
		}
		Bucket bucket = share.bucket();
		return CompletableFuture.completedFuture(new ShareAnswer(grantedUnits, bucket.units(), bucket.tokensMicro(),
				share.isOverloaded(this.timer.nowMs())));
	}

	private long transferTokens(WorkspaceShare share, InstanceId receiver, ShareRequest request) {
		Bucket bucket = share.bucket();
		long tokensMicro = Math.min(bucket.tokensMicro(), request.tokensMicro());
		if (tokensMicro == 0) {
			return 0;
		}
		long burst = share.limit().burst();
		long units = (tokensMicro + burst - 1) / burst;
		// Units that could no longer hold a whole token are more useful at the receiver.
		if (share.limit().capacityMicro(bucket.units() - units) < Limit.MICRO_PER_TOKEN) {
			units = bucket.units();
			tokensMicro = bucket.tokensMicro();
		}
		this.transfers.startTransfer(share, receiver, units, tokensMicro);
		return units;
	}

	private long transferUnits(WorkspaceShare share, InstanceId receiver, ShareRequest request) {
		Bucket bucket = share.bucket();
		long units = RebalanceRule.unitsToGrant(share.limit(), bucket.units(),
				share.demand().rateMilli(this.timer.nowMs()), request.units(), request.demandMilli());
		if (units > 0) {
			long tokensMicro = Math.min(bucket.tokensMicro(), share.limit().capacityMicro(units));
			tokensMicro = Math.min(tokensMicro, (long) ((double) bucket.tokensMicro() * units / bucket.units()));
			this.transfers.startTransfer(share, receiver, units, tokensMicro);
		}
		return units;
	}

	private boolean needsMoreUnits(WorkspaceShare share) {
		long demandMilli = share.demand().rateMilli(this.timer.nowMs());
		long units = share.bucket().units();
		return demandMilli >= MIN_DEMAND_MILLI && (demandMilli * 5 > share.limit().rateMilli(units) * 4
				|| share.limit().capacityMicro(units) < Limit.MICRO_PER_TOKEN);
	}

	private void requestUnits(WorkspaceShare share) {
		InstanceId donor = selectDonor(share);
		if (donor == null) {
			return;
		}
		long nowMs = this.timer.nowMs();
		ShareRequest request = new ShareRequest(share.workspace(), share.bucket().units(),
				share.demand().rateMilli(nowMs), 0);
		this.transport.request(donor, request, ShareAnswer.class, this.settings.askTimeoutMs())
			.whenComplete((answer, error) -> {
				if (error == null) {
					this.admissionExecutor.recordPeerBalance(share, donor, answer.units(), answer.tokensMicro(),
							answer.isOverloaded());
				}
				else {
					share.setUnresponsive(donor, this.timer.nowMs() + this.settings.unresponsiveMs());
				}
			});
	}

	private @Nullable InstanceId selectDonor(WorkspaceShare share) {
		long nowMs = this.timer.nowMs();
		InstanceId bestDonor = null;
		long bestDonorUnits = -1;
		for (Member holder : this.selector.holders(share.workspace(), share.limit().burst())) {
			boolean isOther = !holder.id().equals(this.membership.self().id());
			if (!isOther || !share.isResponsive(holder.id(), nowMs)) {
				continue;
			}
			PeerBalance balance = share.peerBalances().get(holder.id());
			// A holder whose balance is unknown may have the most units.
			long units = (balance != null) ? balance.units() : Limit.SHARE_UNITS;
			if (units > bestDonorUnits) {
				bestDonor = holder.id();
				bestDonorUnits = units;
			}
		}
		return bestDonor;
	}

}
