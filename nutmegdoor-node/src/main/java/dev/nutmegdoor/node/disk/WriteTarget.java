package dev.nutmegdoor.node.disk;

import java.io.IOException;

/**
 * Receives the writes of a {@link GroupCommitThread}, on that thread.
 *
 * @param <W> a write
 */
public interface WriteTarget<W> {

	/**
	 * Writes without forcing.
	 * @param write what to write
	 * @throws IOException if the disk is full or fails
	 */
	void write(W write) throws IOException;

	/**
	 * Forces everything that was written to the disk.
	 * @throws IOException if the disk fails
	 */
	void force() throws IOException;

	/**
	 * Undoes everything that was written since the last call of {@link #force()}.
	 * @throws IOException if that fails, so that nothing may be written any more
	 */
	void rollBack() throws IOException;

}
