package dev.nutmegdoor.node.persistence;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import dev.nutmegdoor.core.distribution.LocalPersistence;
import dev.nutmegdoor.core.event.EventLog;

/**
 * One file for each entry in a directory, written on a thread of its own. A file is
 * written under another name, forced to the disk and renamed, so that a crash leaves the
 * old content or the new one. A failed write is logged and otherwise ignored, because the
 * files are only hints for a restart.
 */
public final class FileLocalPersistence implements LocalPersistence, AutoCloseable {

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9.-]+");

	private static final String UNFINISHED = ".tmp";

	private final Path directory;

	private final Executor control;

	private final EventLog events;

	private final ExecutorService writer = Executors.newSingleThreadExecutor((task) -> {
		Thread thread = new Thread(task, "local-persistence");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates the directory if it doesn't exist.
	 * @param directory directory of the files
	 * @param control completes futures
	 * @param events receives {@code persistence.failed}
	 * @throws IOException if the directory can't be created
	 */
	public FileLocalPersistence(Path directory, Executor control, EventLog events) throws IOException {
		this.directory = Files.createDirectories(directory);
		this.control = control;
		this.events = events;
	}

	@Override
	public CompletableFuture<Map<String, String>> load() {
		return CompletableFuture.supplyAsync(this::readAll, this.writer)
			.thenApplyAsync((entries) -> entries, this.control);
	}

	@Override
	public void put(String name, String value) {
		Path file = file(name);
		this.writer.execute(() -> {
			try {
				write(file, value);
			}
			catch (IOException ex) {
				this.events.record("persistence.failed", "file", file, "cause", ex);
			}
		});
	}

	@Override
	public void remove(String name) {
		Path file = file(name);
		this.writer.execute(() -> {
			try {
				Files.deleteIfExists(file);
			}
			catch (IOException ex) {
				this.events.record("persistence.failed", "file", file, "cause", ex);
			}
		});
	}

	/**
	 * Finishes pending writes, for at most five seconds.
	 */
	@Override
	public void close() {
		this.writer.shutdown();
		try {
			this.writer.awaitTermination(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Map<String, String> readAll() {
		Map<String, String> entries = new HashMap<>();
		try (DirectoryStream<Path> files = Files.newDirectoryStream(this.directory)) {
			for (Path file : files) {
				String name = String.valueOf(file.getFileName());
				if (!name.endsWith(UNFINISHED)) {
					entries.put(name, Files.readString(file));
				}
			}
		}
		catch (IOException ex) {
			this.events.record("persistence.failed", "file", this.directory, "cause", ex);
		}
		return entries;
	}

	private Path file(String name) {
		if (!NAME.matcher(name).matches() || name.endsWith(UNFINISHED)) {
			throw new IllegalArgumentException("name must consist of letters, digits, dots and hyphens: " + name);
		}
		return this.directory.resolve(name);
	}

	private static void write(Path file, String value) throws IOException {
		Path unfinished = file.resolveSibling(file.getFileName() + UNFINISHED);
		try (FileChannel channel = FileChannel.open(unfinished, StandardOpenOption.CREATE,
				StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
			ByteBuffer bytes = ByteBuffer.wrap(value.getBytes(StandardCharsets.UTF_8));
			while (bytes.hasRemaining()) {
				channel.write(bytes);
			}
			channel.force(true);
		}
		Files.move(unfinished, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
	}

}
