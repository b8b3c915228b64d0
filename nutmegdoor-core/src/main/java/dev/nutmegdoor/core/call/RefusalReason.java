package dev.nutmegdoor.core.call;

/**
 * Reason for refusing or failing a call, with its HTTP status. The names are stable.
 */
public enum RefusalReason {

	MALFORMED_REQUEST(400), UNAUTHENTICATED(401), KEY_WITHDRAWN(401), KEY_STATE_UNKNOWN(503), FORBIDDEN(403),
	NOT_FOUND(404), OUT_OF_ORDER(409), PROGRAM_CLOSED(409), IDEMPOTENCY_KEY_EXPIRED(409), IDEMPOTENCY_KEY_REUSED(422),
	REQUEST_TIMEOUT(408), REQUEST_TOO_LARGE(413), HEADER_TOO_LARGE(431), BUDGET_EXHAUSTED(402), RATE_LIMITED(429),
	QUEUE_FULL(503), NOT_STARTED(503), OVERLOADED(503), DEADLINE_EXCEEDED(504), NO_UPSTREAM(503), HOME_UNREACHABLE(503),
	DRAINING(503), NOT_OWNER(503), QUARANTINED(503), NOT_RESUMABLE(503), TURN_NOT_FOUND(404), TURN_UNCERTAIN(503),
	OUTCOME_UNKNOWN(502), UPSTREAM_FAILED(502), CANCELLED(499), INTERNAL(500);

	private final int httpStatus;

	RefusalReason(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns whether the HTTP status guarantees to a client that the request has not run
	 * and never will.
	 * @return {@code true} for a status below 500, which includes 402, 408 and 429, and
	 * for 503
	 */
	public boolean guaranteesNotRun() {
		return this.httpStatus < 500 || this.httpStatus == 503;
	}

	/**
	 * Returns the stable name that is written to problem details.
	 * @return the name in lower case with hyphens
	 */
	public String typeName() {
		return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

}
