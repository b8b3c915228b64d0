package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.call.Refusal;

/**
 * Thrown when a program can't be opened or closed; the refusal has the reason.
 */
public class ProgramException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Refusal refusal;

	public ProgramException(Refusal refusal) {
		super(refusal.detail());
		this.refusal = refusal;
	}

	public Refusal refusal() {
		return this.refusal;
	}

}
