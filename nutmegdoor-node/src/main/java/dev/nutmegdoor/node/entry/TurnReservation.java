package dev.nutmegdoor.node.entry;

import dev.nutmegdoor.core.limit.RequestStage;

/**
 * Tokens of a program's budget that are reserved for one turn.
 */
public interface TurnReservation {

	/** Reserves nothing; for requests that are not turns of a program. */
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
	 * Returns the stage of the request within its program.
	 * @return stage, {@link RequestStage#CONTINUING} for requests that are not turns
	 */
	RequestStage stage();

	/**
	 * Records tokens that were delivered to the client.
	 * @param tokens number of tokens
	 */
	void tokensDelivered(int tokens);

	/**
	 * Releases the reserved tokens that were not delivered. Called on the control thread;
	 * repeated calls have no effect.
	 */
	void settle();

}
