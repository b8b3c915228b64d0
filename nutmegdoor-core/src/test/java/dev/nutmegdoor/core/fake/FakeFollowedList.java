package dev.nutmegdoor.core.fake;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.store.FollowedList;
import dev.nutmegdoor.core.store.InterruptionListener;

/**
 * List that always or never follows the store, as the simulation sets it.
 */
public final class FakeFollowedList implements FollowedList {

	private boolean isInReach = true;

	public void setInReach(boolean isInReach) {
		this.isInReach = isInReach;
	}

	@Override
	public boolean isFollowed() {
		return this.isInReach;
	}

	@Override
	public long revision() {
		return 1;
	}

	@Override
	public CompletableFuture<Boolean> confirm() {
		return CompletableFuture.completedFuture(this.isInReach);
	}

	@Override
	public void subscribe(InterruptionListener listener) {
	}

}
