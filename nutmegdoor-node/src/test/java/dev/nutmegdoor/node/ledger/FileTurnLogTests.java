package dev.nutmegdoor.node.ledger;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import dev.nutmegdoor.core.conversation.StoredTurn;
import dev.nutmegdoor.core.conversation.TurnKey;
import dev.nutmegdoor.core.conversation.TurnSummary;
import dev.nutmegdoor.node.disk.DiskBudget;
import dev.nutmegdoor.node.disk.FailingDisk;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FileTurnLogTests {

	private static final long KEEP_MS = 90_000;

	private static final int SMALL = 1_000;

	/** Two turns of this size don't fit into one segment. */
	private static final int LARGE = 3_000_000;

	private final FailingDisk disk = new FailingDisk();

	private final ExecutorService control = Executors.newSingleThreadExecutor();

	@TempDir
	private Path data;

	private long nowMs = 1_000_000;

	private boolean isDiskLost;

	private DiskBudget budget = new DiskBudget(DiskBudget.UNLIMITED);

	@AfterEach
	void stop() {
		this.control.shutdownNow();
	}

	private FileTurnLog open() throws IOException {
		return new FileTurnLog(folder(), this.isDiskLost, this.control, () -> this.nowMs, this.disk, this.budget, 0);
	}

	private Path folder() {
		return this.data.resolve("turns");
	}

	private List<Path> files() throws IOException {
		try (Stream<Path> files = Files.list(folder())) {
			return files.sorted().toList();
		}
	}

	private static TurnKey key(String id) {
		return new TurnKey("w", id);
	}

	private static StoredTurn turn(String id, @Nullable String previousId, int bytes) {
		byte[] input = new byte[bytes];
		Arrays.fill(input, (byte) id.hashCode());
		return new StoredTurn(key(id), previousId, "g", input, new byte[] { 1, 2 }, KEEP_MS);
	}

	private <T> T onControl(Supplier<CompletableFuture<T>> task) {
		return CompletableFuture.supplyAsync(task, this.control).thenCompose(Function.identity()).join();
	}

	private void append(FileTurnLog log, StoredTurn turn) {
		onControl(() -> log.append(turn, KEEP_MS));
	}

	private List<StoredTurn> read(FileTurnLog log, String... ids) {
		return onControl(() -> log.read(Arrays.stream(ids).map(FileTurnLogTests::key).toList()));
	}

	private void remove(FileTurnLog log, Collection<TurnKey> keys) {
		onControl(() -> {
			log.remove(keys);
			return CompletableFuture.completedFuture(null);
		});
		// Deletions run before a later read, on the same thread.
		read(log);
	}

	private static List<String> ids(FileTurnLog log) {
		return log.recovered().stream().map((turn) -> turn.key().id()).toList();
	}

	@Nested
	class WithoutTurns {

		// Guards against files and threads on machines whose routes keep no turns.
		@Test
		void createsNothing() throws IOException {
			try (FileTurnLog log = open()) {
				remove(log, List.of());
				assertThat(log.isComplete(), is(true));
			}
			try (Stream<Path> files = Files.list(FileTurnLogTests.this.data)) {
				assertThat(files.toList(), is(empty()));
			}
		}

	}

	@Nested
	class AfterARestart {

		// Guards against confirmed turns that are gone or changed, also those longer than
		// a record of the ledger.
		@Test
		void holdsWhatWasConfirmed() throws IOException {
			try (FileTurnLog log = open()) {
				append(log, turn("t1", null, SMALL));
				append(log, turn("t2", "t1", LARGE));
			}
			try (FileTurnLog log = open()) {
				assertThat(log.isComplete(), is(true));
				assertThat(log.recovered(),
						containsInAnyOrder(new TurnSummary(key("t1"), null, "g", SMALL + 2, KEEP_MS + 10_000),
								new TurnSummary(key("t2"), "t1", "g", LARGE + 2, KEEP_MS + 10_000)));
				List<StoredTurn> turns = read(log, "t2", "t1");
				assertThat(turns, hasSize(2));
				assertThat(turns.get(0).input(), is(turn("t2", "t1", LARGE).input()));
				assertThat(turns.get(0).previousId(), is("t1"));
				assertThat(turns.get(1).output(), is(new byte[] { 1, 2 }));
			}
		}

		// Guards against turns whose retention starts again with each restart.
		@Test
		void countsTheRetentionAcrossTheRestart() throws IOException {
			try (FileTurnLog log = open()) {
				append(log, turn("t1", null, SMALL));
			}
			FileTurnLogTests.this.nowMs += KEEP_MS + 20_000;
			try (FileTurnLog log = open()) {
				assertThat(log.recovered().get(0).keepMs(), lessThan(0L));
			}
		}

		// Guards against a log that can't be read, or that counts as damaged, after the
		// loss of power tore its last write.
		@Test
		void cutsOffATornTail() throws IOException {
			try (FileTurnLog log = open()) {
				append(log, turn("t1", null, 100));
				append(log, turn("t2", "t1", 100));
			}
			Path file = files().get(0);
			byte[] bytes = Files.readAllBytes(file);
			for (int length = bytes.length / 2 + 1; length < bytes.length; length += 7) {
				Files.write(file, Arrays.copyOf(bytes, length));
				try (FileTurnLog log = open()) {
					assertThat(ids(log), contains("t1"));
					assertThat(log.isComplete(), is(true));
					append(log, turn("t3", "t1", 100));
				}
				try (FileTurnLog log = open()) {
					assertThat(ids(log), containsInAnyOrder("t1", "t3"));
					assertThat(log.isComplete(), is(true));
				}
				Files.delete(files().get(1));
			}
		}

		// Guards against a member that denies turns which a damaged disk has lost.
		@Test
		void isIncompleteWithDamageBeforeTheLastSegment() throws IOException {
			try (FileTurnLog log = open()) {
				append(log, turn("t1", null, LARGE));
				append(log, turn("t2", null, LARGE));
			}
			byte[] bytes = Files.readAllBytes(files().get(0));
			bytes[bytes.length / 2]++;
			Files.write(files().get(0), bytes);
			try (FileTurnLog log = open()) {
				assertThat(log.isComplete(), is(false));
				assertThat(ids(log), contains("t2"));
			}
			try (FileTurnLog log = open()) {
				assertThat(log.isComplete(), is(false));
			}
		}

		// Guards against a member that was killed while it copied after the loss of its
		// disk, and that takes what it has for everything.
		@Test
		void isIncompleteAfterTheLossOfTheDiskUntilAllWasCopied() throws IOException {
			FileTurnLogTests.this.isDiskLost = true;
			try (FileTurnLog log = open()) {
				assertThat(log.isComplete(), is(false));
				append(log, turn("t1", null, SMALL));
			}
			FileTurnLogTests.this.isDiskLost = false;
			try (FileTurnLog log = open()) {
				assertThat(log.isComplete(), is(false));
				log.setComplete(true);
				read(log);
			}
			try (FileTurnLog log = open()) {
				assertThat(log.isComplete(), is(true));
			}
		}

	}

	@Nested
	class FailuresOfTheDisk {

		// Guards against confirmed turns that a restart does not read, because an earlier
		// write to a full disk left a torn record before them.
		@Test
		void readsTurnsThatFollowAFailedWrite() throws IOException {
			try (FileTurnLog log = open()) {
				append(log, turn("t1", null, SMALL));
				FileTurnLogTests.this.disk.isFull = true;
				assertThrows(CompletionException.class, () -> append(log, turn("t2", "t1", SMALL)));
				FileTurnLogTests.this.disk.isFull = false;
				append(log, turn("t3", "t1", SMALL));
				assertThat(read(log, "t2"), is(empty()));
				assertThat(read(log, "t3"), hasSize(1));
			}
			try (FileTurnLog log = open()) {
				assertThat(ids(log), containsInAnyOrder("t1", "t3"));
			}
		}

		// Guards against confirmed turns behind a torn record that can't be cut off.
		@Test
		void refusesTurnsAfterATornRecordThatCannotBeCutOff() throws IOException {
			try (FileTurnLog log = open()) {
				append(log, turn("t1", null, SMALL));
				FileTurnLogTests.this.disk.isFull = true;
				FileTurnLogTests.this.disk.failsToTruncate = true;
				assertThrows(CompletionException.class, () -> append(log, turn("t2", "t1", SMALL)));
				FileTurnLogTests.this.disk.isFull = false;
				assertThrows(CompletionException.class, () -> append(log, turn("t2", "t1", SMALL)));
				assertThat(read(log, "t1"), hasSize(1));
			}
			FileTurnLogTests.this.disk.failsToTruncate = false;
			try (FileTurnLog log = open()) {
				assertThat(ids(log), contains("t1"));
			}
		}

		// Guards against a log that takes the space of the ledger, and against space that
		// is not used again.
		@Test
		void refusesTurnsBeyondTheLimitUntilSegmentsAreDeleted() throws IOException {
			FileTurnLogTests.this.budget = new DiskBudget(2 * LARGE + LARGE / 2);
			try (FileTurnLog log = open()) {
				append(log, turn("t1", null, LARGE));
				append(log, turn("t2", null, LARGE));
				assertThrows(CompletionException.class, () -> append(log, turn("t3", null, LARGE)));
				remove(log, List.of(key("t1")));
				append(log, turn("t3", null, LARGE));
			}
			try (FileTurnLog log = open()) {
				assertThat(ids(log), containsInAnyOrder("t2", "t3"));
			}
		}

	}

	@Nested
	class Segments {

		// Guards against a disk that fills with turns that have expired.
		@Test
		void areDeletedWithTheirLastTurn() throws IOException {
			try (FileTurnLog log = open()) {
				append(log, turn("t1", null, LARGE));
				append(log, turn("t2", null, LARGE));
				append(log, turn("t3", null, LARGE));
				assertThat(files(), hasSize(3));
				remove(log, List.of(key("t1"), key("t2")));
				assertThat(files(), hasSize(1));
				assertThat(read(log, "t1", "t3"), hasSize(1));
				assertThat(log.sizeBytes(), is(Files.size(files().get(0))));
				assertThat(FileTurnLogTests.this.budget.usedBytes(), is(log.sizeBytes()));
			}
		}

		// Guards against one turn of a long conversation that keeps a whole segment.
		@Test
		void areWrittenAgainWhenTheyAreNearlyEmpty() throws IOException {
			try (FileTurnLog log = open()) {
				append(log, turn("old", null, SMALL));
				append(log, turn("t1", null, LARGE));
				append(log, turn("t2", null, LARGE));
				Path first = files().get(0);
				remove(log, List.of(key("t1")));
				append(log, turn("t3", "old", SMALL));
				remove(log, List.of());
				assertThat(Files.exists(first), is(false));
				assertThat(read(log, "old").get(0).input(), is(turn("old", null, SMALL).input()));
			}
			try (FileTurnLog log = open()) {
				assertThat(ids(log), containsInAnyOrder("old", "t2", "t3"));
				assertThat(read(log, "old", "t2", "t3"), hasSize(3));
			}
		}

	}

}
