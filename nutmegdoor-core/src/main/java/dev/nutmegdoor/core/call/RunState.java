package dev.nutmegdoor.core.call;

/**
 * What a refusal or failure says about the effect of a call.
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
