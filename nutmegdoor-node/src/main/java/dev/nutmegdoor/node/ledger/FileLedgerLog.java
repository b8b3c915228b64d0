package dev.nutmegdoor.node.ledger;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.zip.CRC32;

import org.jboss.logging.Logger;

import dev.nutmegdoor.core.ledger.LedgerEntry;
import dev.nutmegdoor.core.ledger.LedgerLog;
import dev.nutmegdoor.core.ledger.LedgerLogException;

/**
 * Log in one file. A record is a length, a CRC-32 of its content, and the content: the
 * wall-clock time of its expiry and the entry. One thread writes and forces records in
 * groups. What follows the first record that is torn or missing was never acknowledged
 * and is cut off when the log is opened.
 */
public final class FileLedgerLog implements LedgerLog, AutoCloseable {

	private static final Logger logger = Logger.getLogger(FileLedgerLog.class);

	private static final String NAME = "ledger.log";

	private static final String UNFINISHED = "ledger.log.new";

	private static final int HEADER_BYTES = 8;

	private static final int MAX_RECORD_BYTES = 65_536;

	/** Records of expired entries are kept this much longer, because clocks may step. */
	private static final long CLOCK_MARGIN_MS = 10_000;

	private final Path folder;

	private final Executor control;

	private final BlockingQueue<Write> queue = new LinkedBlockingQueue<>();

	private final AtomicLong sizeBytes = new AtomicLong();

	private final LongSupplier wallClockMs;

	private final List<LedgerEntry> recovered;

	private final boolean isNew;

	private final Thread writer;

	private FileChannel channel;

	/**
	 * Opens the log and reads what it holds.
	 * @param folder folder for data
	 * @param control executor on which futures complete
	 * @param wallClockMs current time in milliseconds since the epoch
	 * @throws IOException if the folder can't be used
	 */
	public FileLedgerLog(Path folder, Executor control, LongSupplier wallClockMs) throws IOException {
		this.folder = folder;
		this.control = control;
		this.wallClockMs = wallClockMs;
		Files.createDirectories(folder);
		Path file = folder.resolve(NAME);
		this.isNew = !Files.exists(file);
		this.channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
				StandardOpenOption.WRITE);
		RecoveredEntries entries = new RecoveredEntries();
		long validBytes = recover(entries);
		this.recovered = entries.expiringAfter(wallClockMs.getAsLong() - CLOCK_MARGIN_MS);
		this.channel.truncate(validBytes);
		this.channel.position(validBytes);
		this.channel.force(true);
		forceFolder();
		this.sizeBytes.set(validBytes);
		this.writer = new Thread(this::write, "ledger-disk");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	/**
	 * Returns the entries that the log held when it was opened.
	 * @return entries of the programs that have not expired
	 */
	public List<LedgerEntry> recovered() {
		return this.recovered;
	}

	/**
	 * Returns whether there was no log in the folder.
	 * @return {@code true} for an empty disk
	 */
	public boolean isNew() {
		return this.isNew;
	}

	@Override
	public CompletableFuture<Void> append(List<LedgerEntry> entries) {
		return submit(new Write(encode(entries), false));
	}

	@Override
	public CompletableFuture<Void> compact(List<LedgerEntry> entries) {
		return submit(new Write(encode(entries), true));
	}

	@Override
	public long sizeBytes() {
		return this.sizeBytes.get();
	}

	@Override
	public void close() throws IOException {
		this.writer.interrupt();
		this.channel.close();
	}

	private CompletableFuture<Void> submit(Write write) {
		this.queue.add(write);
		return write.result;
	}

	private void write() {
		List<Write> group = new ArrayList<>();
		try {
			while (!Thread.currentThread().isInterrupted()) {
				group.add(this.queue.take());
				this.queue.drainTo(group);
				writeGroup(group);
				group.clear();
			}
		}
		catch (InterruptedException ex) {
			logger.debug("event=ledger.log_closed");
		}
	}

	private void writeGroup(List<Write> group) {
		try {
			for (Write write : group) {
				if (write.isCompaction) {
					replace(write.bytes);
				}
				else {
					writeAll(this.channel, write.bytes);
				}
			}
			this.channel.force(false);
			this.sizeBytes.set(this.channel.position());
			List<Write> written = List.copyOf(group);
			this.control.execute(() -> written.forEach((write) -> write.result.complete(null)));
		}
		catch (IOException ex) {
			logger.errorf("event=ledger.write_failed error=\"%s\"", ex.getMessage());
			LedgerLogException failure = new LedgerLogException("the ledger's log can't be written", ex);
			List<Write> failed = List.copyOf(group);
			this.control.execute(() -> failed.forEach((write) -> write.result.completeExceptionally(failure)));
		}
	}

	private void replace(byte[] bytes) throws IOException {
		Path unfinished = this.folder.resolve(UNFINISHED);
		FileChannel fresh = FileChannel.open(unfinished, StandardOpenOption.CREATE,
				StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
		writeAll(fresh, bytes);
		fresh.force(true);
		Files.move(unfinished, this.folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE,
				StandardCopyOption.REPLACE_EXISTING);
		forceFolder();
		this.channel.close();
		this.channel = fresh;
	}

	private static void writeAll(FileChannel target, byte[] bytes) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		while (buffer.hasRemaining()) {
			target.write(buffer);
		}
	}

	private void forceFolder() throws IOException {
		try (FileChannel directory = FileChannel.open(this.folder, StandardOpenOption.READ)) {
			directory.force(true);
		}
	}

	private long recover(RecoveredEntries entries) throws IOException {
		ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(this.folder.resolve(NAME)));
		while (bytes.remaining() >= HEADER_BYTES) {
			int start = bytes.position();
			int length = bytes.getInt();
			int checksum = bytes.getInt();
			if (length <= 0 || length > MAX_RECORD_BYTES || length > bytes.remaining()) {
				return start;
			}
			byte[] content = new byte[length];
			bytes.get(content);
			if (checksum(content) != checksum) {
				return start;
			}
			decode(content, entries);
		}
		return bytes.position();
	}

	private static void decode(byte[] content, RecoveredEntries entries) throws IOException {
		DataInputStream input = new DataInputStream(new ByteArrayInputStream(content));
		long expiresMs = input.readLong();
		entries.add(
				new LedgerEntry(input.readUTF(), input.readUTF(), input.readLong(), input.readLong(), input.readLong()),
				expiresMs);
	}

	private byte[] encode(List<LedgerEntry> entries) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(entries.size() * 128);
		long nowMs = this.wallClockMs.getAsLong();
		try (DataOutputStream output = new DataOutputStream(bytes)) {
			for (LedgerEntry entry : entries) {
				ByteArrayOutputStream content = new ByteArrayOutputStream(128);
				DataOutputStream record = new DataOutputStream(content);
				record.writeLong(nowMs + entry.retentionMs());
				record.writeUTF(entry.program());
				record.writeUTF(entry.holder());
				record.writeLong(entry.reservedTokens());
				record.writeLong(entry.releasedTokens());
				record.writeLong(entry.retentionMs());
				output.writeInt(content.size());
				output.writeInt(checksum(content.toByteArray()));
				output.write(content.toByteArray());
			}
		}
		catch (IOException ex) {
			throw new LedgerLogException("entries can't be encoded", ex);
		}
		return bytes.toByteArray();
	}

	private static int checksum(byte[] content) {
		CRC32 crc = new CRC32();
		crc.update(content);
		return (int) crc.getValue();
	}

	private static final class Write {

		private final byte[] bytes;

		private final boolean isCompaction;

		private final CompletableFuture<Void> result = new CompletableFuture<>();

		private Write(byte[] bytes, boolean isCompaction) {
			this.bytes = bytes;
			this.isCompaction = isCompaction;
		}

	}

}
