package dev.nutmegdoor.core.conversation;

import java.util.List;

/**
 * A turn and all turns before it. The receiver returns its bytes to the
 * {@link ChainMemory} when it no longer needs them.
 *
 * @param turns the turns, oldest first; at least one
 * @param bytes total size of inputs and outputs in bytes
 */
public record Chain(List<StoredTurn> turns, int bytes) {

	public Chain {
		turns = List.copyOf(turns);
	}

	/**
	 * Returns the group of the chain, which a turn that continues it inherits.
	 * @return group of the newest turn
	 */
	public String group() {
		return this.turns.get(this.turns.size() - 1).group();
	}

	/**
	 * Composes the body that a replica receives.
	 * @param input new input, which comes last
	 * @return inputs and outputs of the chain in order, then the new input
	 */
	public byte[] compose(byte[] input) {
		byte[] body = new byte[this.bytes + input.length];
		int offset = 0;
		for (StoredTurn turn : this.turns) {
			System.arraycopy(turn.input(), 0, body, offset, turn.input().length);
			offset += turn.input().length;
			System.arraycopy(turn.output(), 0, body, offset, turn.output().length);
			offset += turn.output().length;
		}
		System.arraycopy(input, 0, body, offset, input.length);
		return body;
	}

}
