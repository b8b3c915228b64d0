package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Page of a replica's logs; contains whole chains.
 *
 * @param isAccepted {@code false} if the replica knows a newer epoch
 * @param epoch newest epoch that the replica knows
 * @param entries entries of the page
 * @param nextAfter program to continue after, empty if this is the last page
 */
public record LogReadAnswer(boolean isAccepted, long epoch, List<LogEntry> entries,
		String nextAfter) implements PeerMessage {

	public LogReadAnswer {
		entries = List.copyOf(entries);
	}

}
