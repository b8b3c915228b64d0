package dev.nutmegdoor.core.ledger;

/**
 * What one run of an instance has charged to the budget of a program. Both counts only
 * rise, so entries merge by taking the greater counts.
 *
 * @param program workspace and identifier of the program
 * @param holder the run of the instance
 * @param reservedTokens tokens that were held for turns
 * @param releasedTokens tokens of these that were not handed out
 * @param retentionMs time after the last change for which the entry is kept in
 * milliseconds
 */
public record LedgerEntry(String program, String holder, long reservedTokens, long releasedTokens, long retentionMs) {

	long chargedTokens() {
		return this.reservedTokens - this.releasedTokens;
	}

	LedgerEntry merge(LedgerEntry other) {
		return new LedgerEntry(this.program, this.holder, Math.max(this.reservedTokens, other.reservedTokens),
				Math.max(this.releasedTokens, other.releasedTokens), Math.max(this.retentionMs, other.retentionMs));
	}

}
