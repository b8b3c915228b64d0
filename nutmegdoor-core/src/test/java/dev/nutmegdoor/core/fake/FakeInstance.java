package dev.nutmegdoor.core.fake;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.lease.LeaseController;
import dev.nutmegdoor.core.limit.LimitController;
import dev.nutmegdoor.core.membership.MembershipController;

/**
 * One simulated instance with its controllers.
 *
 * @param host simulated process
 * @param membership membership controller
 * @param lease lease controller
 * @param limiter rate limiter
 * @param configuration view of the configuration that is applied
 */
public record FakeInstance(FakeHost host, MembershipController membership, LeaseController lease,
		LimitController limiter, FakeConfigurationView configuration) {

	public InstanceId id() {
		return this.host.id();
	}

	/**
	 * Returns whether the process runs.
	 * @return {@code true} unless it has crashed or is paused
	 */
	public boolean isRunning() {
		return !this.host.isCrashed() && !this.host.isPaused();
	}

}
