package dev.nutmegdoor.core.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the ledger entries, grouped by program. Not thread-safe.
 */
final class LedgerTable {

	private final Map<String, Account> accounts = new HashMap<>();

	/**
	 * Merges an entry with the existing one of the same program and holder, and extends
	 * the retention of the program.
	 * @param entry the entry
	 * @param nowMs current time in milliseconds
	 * @return whether the table has changed
	 */
	boolean merge(LedgerEntry entry, long nowMs) {
		Account account = this.accounts.computeIfAbsent(entry.program(), (program) -> new Account());
		account.expiresAtMs = Math.max(account.expiresAtMs, nowMs + entry.retentionMs());
		LedgerEntry previous = account.entries.get(entry.holder());
		LedgerEntry merged = (previous != null) ? previous.merge(entry) : entry;
		account.entries.put(entry.holder(), merged);
		return !merged.equals(previous);
	}

	/**
	 * Returns the number of tokens charged to a program by all holders.
	 * @param program workspace and identifier of the program
	 * @return number of reserved tokens that were not released, 0 if there are no entries
	 */
	long chargedTokens(String program) {
		Account account = this.accounts.get(program);
		return (account != null) ? account.entries.values().stream().mapToLong(LedgerEntry::chargedTokens).sum() : 0;
	}

	List<LedgerEntry> entries(String program) {
		Account account = this.accounts.get(program);
		return (account != null) ? List.copyOf(account.entries.values()) : List.of();
	}

	List<LedgerEntry> all() {
		return this.accounts.values().stream().flatMap((account) -> account.entries.values().stream()).toList();
	}

	void expire(long nowMs) {
		this.accounts.values().removeIf((account) -> account.expiresAtMs < nowMs);
	}

	int programCount() {
		return this.accounts.size();
	}

	private static final class Account {

		private final Map<String, LedgerEntry> entries = new HashMap<>(2);

		private long expiresAtMs;

	}

}
