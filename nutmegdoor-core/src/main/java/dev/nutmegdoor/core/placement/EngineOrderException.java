package dev.nutmegdoor.core.placement;

/**
 * Thrown when an order was not sent to its engine.
 */
public class EngineOrderException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public EngineOrderException(String message) {
		super(message);
	}

}
