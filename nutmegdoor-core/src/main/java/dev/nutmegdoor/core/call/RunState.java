package dev.nutmegdoor.core.call;

/**
 * Whether a call that was refused or failed has run.
 */
public enum RunState {

	/** No upstream received the call, and none will. */
	NOT_RUN("not_run"),

	/** An upstream ran the call. */
	RAN("ran"),

	/** An upstream may have run the call. */
	UNKNOWN("unknown");

	private final String wireName;

	RunState(String wireName) {
		this.wireName = wireName;
	}

	public String wireName() {
		return this.wireName;
	}

}
