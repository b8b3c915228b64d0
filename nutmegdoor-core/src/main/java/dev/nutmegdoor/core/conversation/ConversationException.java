package dev.nutmegdoor.core.conversation;

/**
 * A chain could not be read or a turn could not be stored.
 */
public class ConversationException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ConversationFailure failure;

	public ConversationException(ConversationFailure failure, String message) {
		super(message);
		this.failure = failure;
	}

	public ConversationFailure failure() {
		return this.failure;
	}

}
