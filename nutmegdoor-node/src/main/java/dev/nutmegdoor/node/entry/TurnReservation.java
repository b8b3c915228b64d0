package dev.nutmegdoor.node.entry;

import dev.nutmegdoor.core.limit.RequestStage;

/**
 * Tokens of a program's budget that are held for one turn.
 */
public interface TurnReservation {

	/** Holds nothing; for requests that are no turns. */
	TurnReservation NONE = new TurnReservation() {

		@Override
		public RequestStage stage() {
			return RequestStage.CONTINUING;
		}

		@Override
		public void tokensDelivered(int tokens) {
		}

		@Override
		public void settle() {
		}

	};

	/**
	 * Returns the place of the request in its program.
	 * @return the stage
	 */
	RequestStage stage();

	/**
	 * Notes tokens that were handed to the client.
	 * @param tokens number of tokens
	 */
	void tokensDelivered(int tokens);

	/**
	 * Returns what was held and not handed out. Called on the control thread; later calls
	 * have no effect.
	 */
	void settle();

}
