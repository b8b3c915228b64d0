package dev.nutmegdoor.node.ledger;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.ledger.LedgerEntry;

/**
 * Ledger entries read from a log, grouped by program. An entry expires with its program,
 * which any of the program's holders keeps alive.
 */
final class RecoveredEntries {

	private final Map<String, Program> programs = new LinkedHashMap<>();

	/**
	 * Adds a record of the log.
	 * @param entry the entry
	 * @param expiresMs time in milliseconds at which the entry would expire if nothing
	 * else were recorded of its program
	 */
	void add(LedgerEntry entry, long expiresMs) {
		Program program = this.programs.computeIfAbsent(entry.program(), (name) -> new Program());
		program.entriesByHolder.merge(entry.holder(), entry, LedgerEntry::merge);
		program.expiresMs = Math.max(program.expiresMs, expiresMs);
	}

	/**
	 * Returns the entries of the programs that expire after a given time.
	 * @param timeMs time in milliseconds
	 * @return the entries, one for each program and holder, in the order of the log
	 */
	List<LedgerEntry> expiringAfter(long timeMs) {
		return this.programs.values()
			.stream()
			.filter((program) -> program.expiresMs > timeMs)
			.flatMap((program) -> program.entriesByHolder.values().stream())
			.toList();
	}

	private static final class Program {

		private final Map<String, LedgerEntry> entriesByHolder = new LinkedHashMap<>(2);

		private long expiresMs;

	}

}
