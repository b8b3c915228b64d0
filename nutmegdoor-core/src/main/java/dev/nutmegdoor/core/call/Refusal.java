package dev.nutmegdoor.core.call;

/**
 * Final negative outcome of a call.
 *
 * @param reason reason with a stable name
 * @param run whether the call has run or may have run
 * @param detail explanation for the caller; never contains data of another workspace
 * @param retryAfterMs time after which a retry may succeed in milliseconds; 0 if a retry
 * cannot succeed
 */
public record Refusal(RefusalReason reason, RunState run, String detail, long retryAfterMs) {

	public static Refusal notRun(RefusalReason reason, String detail, long retryAfterMs) {
		return new Refusal(reason, RunState.NOT_RUN, detail, retryAfterMs);
	}

}
