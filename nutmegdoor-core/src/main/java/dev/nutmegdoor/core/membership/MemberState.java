package dev.nutmegdoor.core.membership;

/**
 * States of an instance as observed by another one.
 */
public enum MemberState {

	/** Sends heartbeats and may receive work. */
	LIVE(true),

	/** Unresponsive: receives no new work but keeps what it owns. */
	SUSPECT(false),

	/** Draining: receives no new work and hands over what it owns. */
	LEAVING(false),

	/**
	 * Unresponsive for long or no longer listed by the platform. What it owns can be
	 * taken over only after its lease has been fenced.
	 */
	GONE(false);

	private final boolean routable;

	MemberState(boolean routable) {
		this.routable = routable;
	}

	public boolean isRoutable() {
		return this.routable;
	}

}
