package dev.nutmegdoor.core.program;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * One entry of the log of a program. The entries of a program form a hash chain, so that
 * a missing, foreign or altered entry is detected.
 *
 * @param program program that the entry belongs to
 * @param sequence position in the chain, from 1
 * @param epoch partition epoch of the owner that wrote the entry
 * @param type type of the entry
 * @param body body record of the type as JSON
 * @param previousHash hash of the previous entry, 0 for the first
 * @param hash hash over all other fields
 */
public record LogEntry(ProgramId program, int sequence, long epoch, EntryType type, String body, long previousHash,
		long hash) {

	static LogEntry following(ProgramId program, @Nullable LogEntry previous, long epoch, EntryType type, String body) {
		int sequence = (previous != null) ? previous.sequence() + 1 : 1;
		long previousHash = (previous != null) ? previous.hash() : 0;
		return new LogEntry(program, sequence, epoch, type, body, previousHash,
				hashOf(program, sequence, epoch, type, body, previousHash));
	}

	private static long hashOf(ProgramId program, int sequence, long epoch, EntryType type, String body,
			long previousHash) {
		return LongHashFunction.xx()
			.hashChars(previousHash + "|" + program + "|" + sequence + "|" + epoch + "|" + type + "|" + body);
	}

	boolean isIntact() {
		return this.hash == hashOf(this.program, this.sequence, this.epoch, this.type, this.body, this.previousHash);
	}

}
