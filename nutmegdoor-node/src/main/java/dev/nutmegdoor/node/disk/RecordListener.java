package dev.nutmegdoor.node.disk;

import java.io.IOException;

/**
 * Receives the records of a file when it is opened.
 */
@FunctionalInterface
public interface RecordListener {

	/**
	 * Called for each valid record, in the order of the file.
	 * @param offset position of the record in the file
	 * @param content content of the record
	 * @throws IOException if the content can't be decoded
	 */
	void found(long offset, byte[] content) throws IOException;

}
