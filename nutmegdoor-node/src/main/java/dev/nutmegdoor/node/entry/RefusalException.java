package dev.nutmegdoor.node.entry;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;

/**
 * Signals that a request is refused. Has no stack trace.
 */
public class RefusalException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Refusal refusal;

	public RefusalException(Refusal refusal) {
		super(refusal.reason() + ": " + refusal.detail(), null, false, false);
		this.refusal = refusal;
	}

	static RefusalException malformed(String detail) {
		return new RefusalException(Refusal.notRun(RefusalReason.MALFORMED_REQUEST, detail, 0));
	}

	public Refusal refusal() {
		return this.refusal;
	}

}
