package dev.nutmegdoor.core.key;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.HeartbeatExtension;

/**
 * Adds the digest of the withdrawals to heartbeats.
 */
public final class WithdrawalHeartbeat implements HeartbeatExtension {

	private final WithdrawalController controller;

	public WithdrawalHeartbeat(WithdrawalController controller) {
		this.controller = controller;
	}

	@Override
	public String name() {
		return "kw";
	}

	@Override
	public String write() {
		return this.controller.digest();
	}

	@Override
	public void read(InstanceId from, String value) {
		this.controller.onPeerDigest(from, value);
	}

}
