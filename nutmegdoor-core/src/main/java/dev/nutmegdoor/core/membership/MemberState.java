package dev.nutmegdoor.core.membership;

/**
 * State of an instance as another one sees it, and what may be done on its strength.
 */
public enum MemberState {

	/** Heard of recently: may get work. */
	LIVE(true),

	/** Silent for a while: gets no new work; keeps what it owns. */
	SUSPECT(false),

	/** Drains: gets no new work and hands over what it owns. */
	LEAVING(false),

	/** Silent for long or dropped by the platform; what it owns still needs fencing. */
	GONE(false);

	private final boolean routable;

	MemberState(boolean routable) {
		this.routable = routable;
	}

	public boolean isRoutable() {
		return this.routable;
	}

}
