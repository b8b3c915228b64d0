package dev.nutmegdoor.node.disk;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the space that the logs of a process occupy together. Safe for use by several
 * threads.
 */
public final class DiskBudget {

	/** Budget without a bound. */
	public static final long UNLIMITED = Long.MAX_VALUE;

	private final long limitBytes;

	private final AtomicLong usedBytes = new AtomicLong();

	/**
	 * Creates a budget of which nothing is used.
	 * @param limitBytes maximum space in bytes, or {@link #UNLIMITED}
	 */
	public DiskBudget(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	/**
	 * Reserves space for a write.
	 * @param bytes length of the write
	 * @param leftBytes space that must remain for writes that matter more
	 * @return {@code false} if there is not enough space
	 */
	public boolean reserve(long bytes, long leftBytes) {
		if (this.limitBytes == UNLIMITED) {
			this.usedBytes.addAndGet(bytes);
			return true;
		}
		while (true) {
			long used = this.usedBytes.get();
			if (used + bytes > this.limitBytes - leftBytes) {
				return false;
			}
			if (this.usedBytes.compareAndSet(used, used + bytes)) {
				return true;
			}
		}
	}

	/**
	 * Adds space that is occupied already, or subtracts space that was freed.
	 * @param bytes change in bytes
	 */
	public void add(long bytes) {
		this.usedBytes.addAndGet(bytes);
	}

	public long usedBytes() {
		return this.usedBytes.get();
	}

	public long limitBytes() {
		return this.limitBytes;
	}

}
