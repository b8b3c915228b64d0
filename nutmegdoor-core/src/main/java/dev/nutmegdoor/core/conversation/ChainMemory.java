package dev.nutmegdoor.core.conversation;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory of all chains that a process reads and of the bodies composed from
 * them. Thread-safe.
 */
public final class ChainMemory {

	/** Bound for a process, a tenth of the memory of the smallest machines. */
	public static final long DEFAULT_BYTES = 24L * 1024 * 1024;

	private final long maxBytes;

	private final AtomicLong usedBytes = new AtomicLong();

	public ChainMemory(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Reserves memory.
	 * @param bytes number of bytes
	 * @return {@code false} if the bound would be exceeded; nothing is reserved then
	 */
	public boolean reserve(long bytes) {
		long used = this.usedBytes.addAndGet(bytes);
		if (used > this.maxBytes) {
			this.usedBytes.addAndGet(-bytes);
			return false;
		}
		return true;
	}

	public void release(long bytes) {
		this.usedBytes.addAndGet(-bytes);
	}

	public long usedBytes() {
		return this.usedBytes.get();
	}

}
