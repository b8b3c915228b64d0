package dev.nutmegdoor.core.call;

/**
 * Final negative answer to a call.
 *
 * @param reason stable reason
 * @param run what is known about the effect of the call
 * @param detail explanation for the caller; never contains data of another workspace
 * @param retryAfterMs time after which a retry is sensible in milliseconds; 0 if a retry
 * is pointless
 */
public record Refusal(RefusalReason reason, RunState run, String detail, long retryAfterMs) {

	public static Refusal notRun(RefusalReason reason, String detail, long retryAfterMs) {
		return new Refusal(reason, RunState.NOT_RUN, detail, retryAfterMs);
	}

}
