package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Page of a replica's logs. A chain is never split between pages.
 *
 * @param isAccepted {@code false} if the replica has seen a newer epoch
 * @param epoch newest epoch that the replica has seen
 * @param entries entries of the page, in the order of their chains
 * @param nextAfter program to continue after, empty if this is the last page
 */
public record LogReadAnswer(boolean isAccepted, long epoch, List<LogEntry> entries,
		String nextAfter) implements PeerMessage {

	public LogReadAnswer {
		entries = List.copyOf(entries);
	}

}
