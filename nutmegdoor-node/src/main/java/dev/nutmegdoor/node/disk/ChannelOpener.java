package dev.nutmegdoor.node.disk;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;

/**
 * Opens files, so that tests can simulate a disk that is full or fails.
 */
@FunctionalInterface
public interface ChannelOpener {

	/** Opens files of the file system. */
	ChannelOpener DEFAULT = FileChannel::open;

	/**
	 * Opens a file.
	 * @param path the file
	 * @param options how the file is opened
	 * @return the channel
	 * @throws IOException if the file can't be opened
	 */
	FileChannel open(Path path, OpenOption... options) throws IOException;

}
