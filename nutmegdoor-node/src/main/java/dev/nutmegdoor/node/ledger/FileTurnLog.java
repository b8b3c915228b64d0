package dev.nutmegdoor.node.ledger;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.conversation.StoredTurn;
import dev.nutmegdoor.core.conversation.TurnKey;
import dev.nutmegdoor.core.conversation.TurnLog;
import dev.nutmegdoor.core.conversation.TurnLogException;
import dev.nutmegdoor.core.conversation.TurnSummary;
import dev.nutmegdoor.node.disk.ChannelOpener;
import dev.nutmegdoor.node.disk.DiskBudget;
import dev.nutmegdoor.node.disk.Folders;
import dev.nutmegdoor.node.disk.GroupCommitThread;
import dev.nutmegdoor.node.disk.RecordFile;
import dev.nutmegdoor.node.disk.WriteTarget;

/**
 * Log of turns in segments. A segment is deleted when none of its turns is needed any
 * more; the turns of a segment that is nearly empty are first written again, so that a
 * long conversation does not keep the segments of all its turns. Only the positions of
 * the turns are in memory. The folder and the threads exist once there is a turn.
 */
public final class FileTurnLog implements TurnLog, AutoCloseable {

	private static final Logger logger = Logger.getLogger(FileTurnLog.class);

	private static final String PREFIX = "turns-";

	private static final String SUFFIX = ".log";

	private static final String INCOMPLETE = ".incomplete";

	private static final int MAX_RECORD_BYTES = 8 * 1024 * 1024;

	private static final long SEGMENT_BYTES = 4 * 1024 * 1024;

	/**
	 * Maximum number of bytes that wait for the disk. The heap has 64 MiB.
	 */
	private static final long MAX_PENDING_BYTES = 12 * 1024 * 1024;

	/** Turns are kept this much longer after a restart, because clocks may step. */
	private static final long CLOCK_MARGIN_MS = 10_000;

	/**
	 * Maximum time in milliseconds for which a recovered turn is kept, in case that the
	 * clock was set back.
	 */
	private static final long MAX_KEEP_MS = 24 * 3_600_000L;

	private static final long READER_IDLE_S = 5;

	private final Path folder;

	private final Path incompleteMarker;

	private final Executor control;

	private final LongSupplier wallClockMs;

	private final ChannelOpener opener;

	private final DiskBudget budget;

	private final long leftBytes;

	private final Map<TurnKey, Location> locations = new HashMap<>();

	private final ConcurrentSkipListMap<Long, TurnSegment> segments = new ConcurrentSkipListMap<>();

	private final List<TurnSummary> recovered;

	private final boolean isComplete;

	private final ThreadPoolExecutor reader;

	private final GroupCommitThread<Write> writer;

	private volatile long currentId;

	/** Segment that is written; used on the writing thread only. */
	private @Nullable TurnSegment current;

	private long pendingBytes;

	private long sizeBytes;

	/**
	 * Opens the log and reads what it holds.
	 * @param folder folder of the log, which is created with the first turn
	 * @param isDiskLost whether the disk of this member has been lost, so that it must
	 * not report turns as absent before it has copied those of other members
	 * @param control executor on which futures complete
	 * @param wallClockMs current time in milliseconds since the epoch
	 * @param opener opens the files
	 * @param budget space for the logs of this process
	 * @param leftBytes space of the budget that turns must leave to the ledger
	 * @throws IOException if the folder can't be used
	 */
	public FileTurnLog(Path folder, boolean isDiskLost, Executor control, LongSupplier wallClockMs,
			ChannelOpener opener, DiskBudget budget, long leftBytes) throws IOException {
		this.folder = folder;
		this.incompleteMarker = folder.resolveSibling(folder.getFileName() + INCOMPLETE);
		this.control = control;
		this.wallClockMs = wallClockMs;
		this.opener = opener;
		this.budget = budget;
		this.leftBytes = leftBytes;
		if (isDiskLost) {
			mark(false);
		}
		this.recovered = Files.isDirectory(folder) ? recover() : List.of();
		this.isComplete = !Files.exists(this.incompleteMarker);
		this.currentId = this.segments.isEmpty() ? 1 : this.segments.lastKey() + 1;
		this.reader = new ThreadPoolExecutor(1, 1, READER_IDLE_S, TimeUnit.SECONDS, new LinkedBlockingQueue<>(),
				(task) -> {
					Thread thread = new Thread(task, "turn-reader");
					thread.setDaemon(true);
					return thread;
				});
		this.reader.allowCoreThreadTimeOut(true);
		this.writer = new GroupCommitThread<>("turn-disk", control, new Target(), TurnLogException::new);
	}

	/**
	 * Returns the turns that the log held when it was opened.
	 * @return all turns, also those that have expired by themselves
	 */
	public List<TurnSummary> recovered() {
		return this.recovered;
	}

	/**
	 * Returns whether the log contained all turns that this member has confirmed when it
	 * was opened.
	 * @return {@code false} after the loss of a disk or damage
	 */
	public boolean isComplete() {
		return this.isComplete;
	}

	@Override
	public CompletableFuture<Void> append(StoredTurn turn, long keepMs) {
		try {
			byte[] record = RecordFile.encode(TurnRecord.encode(turn, this.wallClockMs.getAsLong() + keepMs));
			return append(turn.key(), record, null);
		}
		catch (IOException ex) {
			return CompletableFuture.failedFuture(new TurnLogException("the turn can't be encoded", ex));
		}
	}

	private CompletableFuture<Void> append(TurnKey key, byte[] record, @Nullable Location replaced) {
		if (record.length > MAX_RECORD_BYTES) {
			return failed("the turn is too long for the log");
		}
		if (this.pendingBytes + record.length > MAX_PENDING_BYTES) {
			return failed("too many turns wait for the disk");
		}
		if (!this.budget.reserve(record.length, this.leftBytes)) {
			return failed("the log has reached the limit of the disk space");
		}
		this.pendingBytes += record.length;
		Write write = new Write(record);
		return this.writer.submit(write).handle((written, error) -> {
			this.pendingBytes -= record.length;
			ended(write, key, error == null, replaced);
			if (error != null) {
				this.budget.add(-record.length);
				throw new TurnLogException(String.valueOf(error.getMessage()), error);
			}
			return null;
		});
	}

	private static CompletableFuture<Void> failed(String message) {
		return CompletableFuture.failedFuture(new TurnLogException(message, null));
	}

	private void ended(Write write, TurnKey key, boolean isWritten, @Nullable Location replaced) {
		TurnSegment segment = write.segment;
		if (segment == null) {
			return;
		}
		segment.writeEnded(isWritten ? write.record.length : 0);
		if (isWritten) {
			this.sizeBytes += write.record.length;
			// A turn that was removed while it was written again stays removed.
			if (replaced == null || replaced.equals(this.locations.get(key))) {
				put(key, new Location(segment, write.offset, write.record.length));
			}
		}
	}

	private void put(TurnKey key, Location location) {
		location.segment.added(location.recordBytes);
		Location previous = this.locations.put(key, location);
		if (previous != null) {
			previous.segment.removed(previous.recordBytes);
		}
	}

	@Override
	public CompletableFuture<List<StoredTurn>> read(List<TurnKey> keys) {
		List<Location> requested = new ArrayList<>();
		for (TurnKey key : keys) {
			Location location = this.locations.get(key);
			if (location != null) {
				requested.add(location);
			}
		}
		return onReader(() -> {
			List<StoredTurn> turns = new ArrayList<>();
			for (Location location : requested) {
				byte[] content = read(location);
				TurnRecord record = (content != null) ? TurnRecord.decode(content, true) : null;
				if (record != null) {
					turns.add(record.turn());
				}
			}
			return turns;
		});
	}

	private static byte @Nullable [] read(Location location) throws IOException {
		try {
			return location.segment.file().read(location.offset, location.recordBytes - RecordFile.HEADER_BYTES);
		}
		catch (ClosedChannelException ex) {
			// The segment was deleted after the turn had expired.
			return null;
		}
	}

	private <T> CompletableFuture<T> onReader(DiskTask<T> task) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.reader.execute(() -> {
			try {
				T value = task.run();
				this.control.execute(() -> result.complete(value));
			}
			catch (IOException | RuntimeException | OutOfMemoryError ex) {
				logger.errorf("event=turns.disk_failed error=\"%s\"", ex.getMessage());
				TurnLogException failure = new TurnLogException("the disk failed: " + ex.getMessage(), ex);
				this.control.execute(() -> result.completeExceptionally(failure));
			}
		});
		return result;
	}

	@Override
	public void remove(Collection<TurnKey> keys) {
		for (TurnKey key : keys) {
			Location location = this.locations.remove(key);
			if (location != null) {
				location.segment.removed(location.recordBytes);
			}
		}
		TurnSegment sparse = null;
		for (TurnSegment segment : this.segments.headMap(this.currentId).values()) {
			if (segment.isUnused()) {
				delete(segment);
			}
			else if (sparse == null && segment.isSparse()) {
				sparse = segment;
			}
		}
		if (sparse != null) {
			rewrite(sparse);
		}
	}

	private void delete(TurnSegment segment) {
		this.segments.remove(segment.id());
		this.sizeBytes -= segment.occupiedBytes();
		this.budget.add(-segment.occupiedBytes());
		onReader(() -> {
			segment.file().close();
			return Files.deleteIfExists(segment.path());
		});
	}

	private void rewrite(TurnSegment segment) {
		segment.setRewriting(true);
		Map<TurnKey, Location> moved = new HashMap<>();
		this.locations.forEach((key, location) -> {
			if (location.segment == segment) {
				moved.put(key, location);
			}
		});
		onReader(() -> {
			Map<TurnKey, byte[]> contents = new HashMap<>();
			for (Map.Entry<TurnKey, Location> entry : moved.entrySet()) {
				byte[] content = read(entry.getValue());
				if (content != null) {
					contents.put(entry.getKey(), content);
				}
			}
			return contents;
		}).thenCompose((contents) -> CompletableFuture.allOf(contents.entrySet()
			.stream()
			.map((entry) -> append(entry.getKey(), RecordFile.encode(entry.getValue()), moved.get(entry.getKey())))
			.toArray(CompletableFuture[]::new))).whenComplete((done, error) -> segment.setRewriting(false));
	}

	@Override
	public void setComplete(boolean isComplete) {
		onReader(() -> {
			mark(isComplete);
			return isComplete;
		});
	}

	// The marker lies beside the folder, which may not exist yet.
	private void mark(boolean isComplete) throws IOException {
		Path parent = this.incompleteMarker.toAbsolutePath().getParent();
		if (parent == null || isComplete == !Files.exists(this.incompleteMarker)) {
			return;
		}
		if (isComplete) {
			Files.delete(this.incompleteMarker);
		}
		else {
			Files.createDirectories(parent);
			Files.createFile(this.incompleteMarker);
		}
		Folders.force(parent);
	}

	@Override
	public long sizeBytes() {
		return this.sizeBytes;
	}

	@Override
	public void close() throws IOException {
		this.writer.close();
		this.reader.shutdownNow();
		for (TurnSegment segment : this.segments.values()) {
			segment.file().close();
		}
	}

	private List<TurnSummary> recover() throws IOException {
		Map<TurnKey, TurnSummary> turns = new HashMap<>();
		Map<Long, Path> paths = segmentPaths();
		int opened = 0;
		for (Map.Entry<Long, Path> entry : paths.entrySet()) {
			recover(entry.getKey(), entry.getValue(), turns);
			TurnSegment segment = this.segments.lastEntry().getValue();
			// All segments but the last one were forced before the next one was created.
			if (++opened < paths.size() && segment.file().wasCut()) {
				logger.errorf("event=turns.damaged segment=%s", segment.path());
				mark(false);
			}
		}
		return List.copyOf(turns.values());
	}

	private void recover(long id, Path path, Map<TurnKey, TurnSummary> turns) throws IOException {
		Map<TurnKey, long[]> positions = new HashMap<>();
		long nowMs = this.wallClockMs.getAsLong();
		RecordFile file = new RecordFile(this.opener, path, MAX_RECORD_BYTES, (offset, content) -> {
			TurnRecord record = TurnRecord.decode(content, false);
			if (record != null) {
				StoredTurn turn = record.turn();
				long keepMs = Math.min(record.expiresMs() + CLOCK_MARGIN_MS - nowMs, MAX_KEEP_MS);
				positions.put(turn.key(), new long[] { offset, RecordFile.HEADER_BYTES + content.length });
				turns.put(turn.key(),
						new TurnSummary(turn.key(), turn.previousId(), turn.group(), record.contentBytes(), keepMs));
			}
		});
		TurnSegment segment = new TurnSegment(id, path, file);
		this.segments.put(id, segment);
		this.budget.add(segment.occupiedBytes());
		this.sizeBytes += segment.occupiedBytes();
		positions.forEach((key, position) -> put(key, new Location(segment, position[0], (int) position[1])));
	}

	private Map<Long, Path> segmentPaths() throws IOException {
		Map<Long, Path> paths = new TreeMap<>();
		try (DirectoryStream<Path> files = Files.newDirectoryStream(this.folder, PREFIX + "*" + SUFFIX)) {
			for (Path file : files) {
				String name = String.valueOf(file.getFileName());
				paths.put(Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length())), file);
			}
		}
		return paths;
	}

	/**
	 * A task that uses the disk.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	private interface DiskTask<T> {

		T run() throws IOException;

	}

	private record Location(TurnSegment segment, long offset, int recordBytes) {
	}

	/** Segment and offset are set on the writing thread before the write ends. */
	private static final class Write {

		private final byte[] record;

		private volatile @Nullable TurnSegment segment;

		private volatile long offset;

		private Write(byte[] record) {
			this.record = record;
		}

	}

	private final class Target implements WriteTarget<Write> {

		@Override
		public void write(Write write) throws IOException {
			TurnSegment segment = segmentFor(write.record.length);
			segment.writeStarted();
			write.segment = segment;
			write.offset = segment.file().append(write.record);
		}

		private TurnSegment segmentFor(int bytes) throws IOException {
			FileTurnLog log = FileTurnLog.this;
			TurnSegment written = log.current;
			if (written != null) {
				long usedBytes = written.file().sizeBytes();
				if (usedBytes == 0 || usedBytes + bytes <= SEGMENT_BYTES) {
					return written;
				}
				written.file().force();
			}
			Files.createDirectories(log.folder);
			long id = (written != null) ? written.id() + 1 : log.currentId;
			Path path = log.folder.resolve(String.format("%s%010d%s", PREFIX, id, SUFFIX));
			TurnSegment created = new TurnSegment(id, path,
					new RecordFile(log.opener, path, MAX_RECORD_BYTES, (offset, content) -> {
					}));
			Folders.force(log.folder);
			log.segments.put(id, created);
			log.current = created;
			log.currentId = id;
			return created;
		}

		@Override
		public void force() throws IOException {
			TurnSegment written = FileTurnLog.this.current;
			if (written != null) {
				written.file().force();
			}
		}

		@Override
		public void rollBack() throws IOException {
			TurnSegment written = FileTurnLog.this.current;
			if (written != null) {
				written.file().rollBack();
			}
		}

	}

}
