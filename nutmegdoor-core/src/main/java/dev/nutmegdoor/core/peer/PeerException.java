package dev.nutmegdoor.core.peer;

/**
 * Failure of a request to another instance.
 */
public class PeerException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final PeerFailure failure;

	public PeerException(PeerFailure failure, String message) {
		super(message);
		this.failure = failure;
	}

	public PeerFailure failure() {
		return this.failure;
	}

}
