package dev.nutmegdoor.experiment.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.lease.InstanceLease;
import dev.nutmegdoor.core.lease.LeaseListener;
import dev.nutmegdoor.core.lease.LeaseState;

/**
 * Lease of one simulated instance.
 */
final class SimLease implements InstanceLease {

	private static final long ROUND_TRIP_MS = 5;

	private final FakeHost host;

	private final SimLeases leases;

	private final List<LeaseListener> listeners = new ArrayList<>();

	private long epoch;

	private long validUntilMs;

	private long lastRenewalMs;

	private long blockedUntilMs;

	private boolean isFenced;

	private LeaseState announced = LeaseState.NONE;

	SimLease(FakeHost host, SimLeases leases) {
		this.host = host;
		this.leases = leases;
		host.schedule(ROUND_TRIP_MS, this::renew);
		host.subscribe(SimLeases.RENEW_MS, this::renew);
		host.subscribe(500, this::announce);
	}

	FakeHost host() {
		return this.host;
	}

	/**
	 * Makes all renewals fail for a time.
	 * @param untilMs end of that time on the host's clock
	 */
	void block(long untilMs) {
		this.blockedUntilMs = untilMs;
	}

	private void renew() {
		if (this.host.nowMs() < this.blockedUntilMs || !this.leases.canRenew(this.host)) {
			return;
		}
		if (this.isFenced) {
			// Everything owned under the old epoch is given up before the new one starts.
			announce();
			this.isFenced = false;
			this.epoch++;
		}
		this.epoch = Math.max(1, this.epoch);
		this.lastRenewalMs = this.host.nowMs();
		this.validUntilMs = this.host.nowMs() + SimLeases.TTL_MS - SimLeases.MARGIN_MS;
		announce();
	}

	boolean fenceIfExpired(long trueNowMs) {
		if (this.isFenced) {
			return true;
		}
		long silentMs = this.host.nowMs() - this.lastRenewalMs;
		if (silentMs > SimLeases.TTL_MS + SimLeases.MARGIN_MS && trueNowMs > SimLeases.TTL_MS) {
			this.isFenced = true;
			return true;
		}
		return false;
	}

	private void announce() {
		LeaseState state = this.isFenced ? LeaseState.FENCED
				: (this.epoch == 0) ? LeaseState.NONE : isValid() ? LeaseState.VALID : LeaseState.EXPIRED;
		if (state != this.announced) {
			this.announced = state;
			List.copyOf(this.listeners).forEach((listener) -> listener.changed(state));
		}
	}

	@Override
	public boolean isValid() {
		return this.epoch > 0 && !this.isFenced && this.host.nowMs() < this.validUntilMs;
	}

	@Override
	public long epoch() {
		return this.epoch;
	}

	@Override
	public void subscribe(LeaseListener listener) {
		this.listeners.add(listener);
	}

	@Override
	public CompletableFuture<Boolean> fence(InstanceId holder) {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.host.schedule(ROUND_TRIP_MS, () -> result.complete(this.leases.tryFence(this.host, holder)));
		return result;
	}

}
