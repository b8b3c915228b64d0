package dev.nutmegdoor.core.ledger;

/**
 * Tokens that one run of an instance has charged to the budget of a program. Neither of
 * the two counts ever decreases, so entries are merged by taking the maximum of each.
 *
 * @param program workspace and identifier of the program
 * @param holder identifies the run of the instance
 * @param reservedTokens total number of tokens that were reserved for turns
 * @param releasedTokens number of these tokens that were released because they were not
 * generated
 * @param retentionMs time after the last change in milliseconds for which the entry is
 * kept
 */
public record LedgerEntry(String program, String holder, long reservedTokens, long releasedTokens, long retentionMs) {

	long chargedTokens() {
		return this.reservedTokens - this.releasedTokens;
	}

	/**
	 * Merges two entries of the same program and holder.
	 * @param other the other entry
	 * @return an entry with the maximum of each count
	 */
	public LedgerEntry merge(LedgerEntry other) {
		return new LedgerEntry(this.program, this.holder, Math.max(this.reservedTokens, other.reservedTokens),
				Math.max(this.releasedTokens, other.releasedTokens), Math.max(this.retentionMs, other.retentionMs));
	}

}
