package dev.nutmegdoor.node.disk;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Folders on the disk.
 */
public final class Folders {

	private Folders() {
	}

	/**
	 * Forces the names of the files in a folder to the disk.
	 * @param folder the folder
	 * @throws IOException if the disk fails
	 */
	public static void force(Path folder) throws IOException {
		try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
			directory.force(true);
		}
	}

}
