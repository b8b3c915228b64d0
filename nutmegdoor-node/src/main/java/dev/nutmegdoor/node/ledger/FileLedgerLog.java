package dev.nutmegdoor.node.ledger;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import dev.nutmegdoor.core.ledger.LedgerEntry;
import dev.nutmegdoor.core.ledger.LedgerLog;
import dev.nutmegdoor.core.ledger.LedgerLogException;
import dev.nutmegdoor.node.disk.ChannelOpener;
import dev.nutmegdoor.node.disk.DiskBudget;
import dev.nutmegdoor.node.disk.Folders;
import dev.nutmegdoor.node.disk.GroupCommitThread;
import dev.nutmegdoor.node.disk.RecordFile;
import dev.nutmegdoor.node.disk.WriteTarget;

/**
 * Log in one {@link RecordFile}. The content of a record is the wall-clock time of its
 * expiry and the entry.
 */
public final class FileLedgerLog implements LedgerLog, AutoCloseable {

	/** Name of the file in the folder of the log. */
	static final String NAME = "ledger.log";

	private static final String UNFINISHED = "ledger.log.new";

	private static final int MAX_RECORD_BYTES = 65_536;

	/** Records of expired entries are kept this much longer, because clocks may step. */
	private static final long CLOCK_MARGIN_MS = 10_000;

	private final Path folder;

	private final LongSupplier wallClockMs;

	private final ChannelOpener opener;

	private final DiskBudget budget;

	private final List<LedgerEntry> recovered;

	private final boolean isNew;

	private final GroupCommitThread<Write> writer;

	private volatile long sizeBytes;

	private RecordFile file;

	/**
	 * Opens the log and reads what it holds.
	 * @param folder folder for data
	 * @param control executor on which futures complete
	 * @param wallClockMs current time in milliseconds since the epoch
	 * @param opener opens the files
	 * @param budget space for the logs of this process
	 * @throws IOException if the folder can't be used
	 */
	public FileLedgerLog(Path folder, Executor control, LongSupplier wallClockMs, ChannelOpener opener,
			DiskBudget budget) throws IOException {
		this.folder = folder;
		this.wallClockMs = wallClockMs;
		this.opener = opener;
		this.budget = budget;
		Files.createDirectories(folder);
		Path path = folder.resolve(NAME);
		this.isNew = !Files.exists(path);
		RecoveredEntries entries = new RecoveredEntries();
		this.file = new RecordFile(opener, path, MAX_RECORD_BYTES, (offset, content) -> decode(content, entries));
		this.recovered = entries.expiringAfter(wallClockMs.getAsLong() - CLOCK_MARGIN_MS);
		Folders.force(folder);
		this.sizeBytes = this.file.sizeBytes();
		budget.add(this.sizeBytes);
		this.writer = new GroupCommitThread<>("ledger-disk", control, new Target(), LedgerLogException::new);
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
		return this.sizeBytes;
	}

	@Override
	public void close() throws IOException {
		this.writer.close();
		this.file.close();
	}

	private CompletableFuture<Void> submit(Write write) {
		if (!this.budget.reserve(write.bytes.length, 0)) {
			return CompletableFuture
				.failedFuture(new LedgerLogException("the log has reached the limit of the disk space", null));
		}
		return this.writer.submit(write).<Void>thenApply((written) -> null).whenComplete((done, error) -> {
			if (error != null) {
				this.budget.add(-write.bytes.length);
			}
		});
	}

	private void replace(byte[] bytes) throws IOException {
		Path unfinished = this.folder.resolve(UNFINISHED);
		Files.deleteIfExists(unfinished);
		RecordFile fresh = new RecordFile(this.opener, unfinished, MAX_RECORD_BYTES, (offset, content) -> {
		});
		try {
			fresh.append(bytes);
			fresh.force();
			Files.move(unfinished, this.folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE,
					StandardCopyOption.REPLACE_EXISTING);
		}
		catch (IOException ex) {
			// The log in use is complete without the compaction.
			fresh.close();
			Files.deleteIfExists(unfinished);
			throw ex;
		}
		this.budget.add(-this.file.sizeBytes());
		this.file.close();
		this.file = fresh;
		Folders.force(this.folder);
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
				output.write(RecordFile.encode(content.toByteArray()));
			}
		}
		catch (IOException ex) {
			throw new LedgerLogException("entries can't be encoded", ex);
		}
		return bytes.toByteArray();
	}

	private final class Target implements WriteTarget<Write> {

		@Override
		public void write(Write write) throws IOException {
			if (write.isCompaction) {
				replace(write.bytes);
			}
			else {
				FileLedgerLog.this.file.append(write.bytes);
			}
		}

		@Override
		public void force() throws IOException {
			FileLedgerLog.this.file.force();
			FileLedgerLog.this.sizeBytes = FileLedgerLog.this.file.sizeBytes();
		}

		@Override
		public void rollBack() throws IOException {
			FileLedgerLog.this.file.rollBack();
			FileLedgerLog.this.sizeBytes = FileLedgerLog.this.file.sizeBytes();
		}

	}

	private static final class Write {

		private final byte[] bytes;

		private final boolean isCompaction;

		private Write(byte[] bytes, boolean isCompaction) {
			this.bytes = bytes;
			this.isCompaction = isCompaction;
		}

	}

}
