package dev.nutmegdoor.node.ledger;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

import dev.nutmegdoor.node.disk.RecordFile;

/**
 * One file of the turn log. Its counts are used on the control thread, except for the
 * number of writes that have not ended.
 */
final class TurnSegment {

	private final long id;

	private final Path path;

	private final RecordFile file;

	private final AtomicInteger unfinishedWrites = new AtomicInteger();

	private int liveTurns;

	private long liveBytes;

	private long occupiedBytes;

	private boolean isRewriting;

	TurnSegment(long id, Path path, RecordFile file) {
		this.id = id;
		this.path = path;
		this.file = file;
		this.occupiedBytes = file.sizeBytes();
	}

	long id() {
		return this.id;
	}

	Path path() {
		return this.path;
	}

	RecordFile file() {
		return this.file;
	}

	long occupiedBytes() {
		return this.occupiedBytes;
	}

	void writeStarted() {
		this.unfinishedWrites.incrementAndGet();
	}

	void writeEnded(long writtenBytes) {
		this.unfinishedWrites.decrementAndGet();
		this.occupiedBytes += writtenBytes;
	}

	void added(long bytes) {
		this.liveTurns++;
		this.liveBytes += bytes;
	}

	void removed(long bytes) {
		this.liveTurns--;
		this.liveBytes -= bytes;
	}

	boolean isUnused() {
		return this.liveTurns == 0 && this.unfinishedWrites.get() == 0;
	}

	/**
	 * Returns whether few turns of long chains keep the whole segment.
	 * @return {@code true} if less than a quarter is in use
	 */
	boolean isSparse() {
		return !this.isRewriting && this.unfinishedWrites.get() == 0 && this.liveBytes * 4 < this.occupiedBytes;
	}

	void setRewriting(boolean isRewriting) {
		this.isRewriting = isRewriting;
	}

}
