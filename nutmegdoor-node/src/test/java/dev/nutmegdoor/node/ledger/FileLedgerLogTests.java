package dev.nutmegdoor.node.ledger;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import dev.nutmegdoor.core.ledger.LedgerEntry;
import dev.nutmegdoor.node.disk.DiskBudget;
import dev.nutmegdoor.node.disk.FailingDisk;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FileLedgerLogTests {

	private static final long RETENTION_MS = 60_000;

	private static final LedgerEntry ONE = new LedgerEntry("w/p1", "g~1", 132, 0, RETENTION_MS);

	private static final LedgerEntry TWO = new LedgerEntry("w/p2", "g~1", 264, 100, RETENTION_MS);

	@TempDir
	private Path folder;

	private long nowMs = 1_000_000;

	private final FailingDisk disk = new FailingDisk();

	private FileLedgerLog open() throws IOException {
		return open(new DiskBudget(DiskBudget.UNLIMITED));
	}

	private FileLedgerLog open(DiskBudget budget) throws IOException {
		return new FileLedgerLog(this.folder, Runnable::run, () -> this.nowMs, this.disk, budget);
	}

	private Path file() {
		return this.folder.resolve("ledger.log");
	}

	private void write(LedgerEntry... entries) throws IOException {
		try (FileLedgerLog log = open()) {
			for (LedgerEntry entry : entries) {
				log.append(List.of(entry)).join();
			}
		}
	}

	@Nested
	class AfterARestart {

		// Guards against acknowledged entries that are gone, and against an empty disk
		// that passes for one with a log.
		@Test
		void holdsWhatWasAcknowledged() throws IOException {
			try (FileLedgerLog log = open()) {
				assertThat(log.isNew(), is(true));
			}
			write(ONE, TWO);
			try (FileLedgerLog log = open()) {
				assertThat(log.isNew(), is(false));
				assertThat(log.recovered(), contains(ONE, TWO));
			}
		}

		// Guards against charges of a program that are forgotten although turns through
		// another instance keep the program alive.
		@Test
		void holdsEntriesOfProgramThatAnotherHolderKeepsAlive() throws IOException {
			LedgerEntry later = new LedgerEntry(ONE.program(), "g~2", 132, 0, RETENTION_MS);
			write(ONE, TWO);
			FileLedgerLogTests.this.nowMs += RETENTION_MS;
			write(later);
			FileLedgerLogTests.this.nowMs += RETENTION_MS;
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(ONE, later));
			}
		}

		// Guards against a log whose programs never expire.
		@Test
		void dropsProgramsThatHaveExpired() throws IOException {
			write(ONE);
			FileLedgerLogTests.this.nowMs += 2 * RETENTION_MS;
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), is(empty()));
			}
		}

		// Guards against a log that can't be read, or grows from the middle of a record,
		// after the loss of power tore its last write.
		@Test
		void cutsOffATornTail() throws IOException {
			write(ONE, TWO);
			byte[] bytes = Files.readAllBytes(file());
			for (int length = bytes.length / 2 + 1; length < bytes.length; length++) {
				Files.write(file(), Arrays.copyOf(bytes, length));
				try (FileLedgerLog log = open()) {
					assertThat(log.recovered(), contains(ONE));
					log.append(List.of(TWO)).join();
				}
				try (FileLedgerLog log = open()) {
					assertThat(log.recovered(), contains(ONE, TWO));
				}
			}
		}

		// Guards against a hole of zeros, which a file system can leave for a write that
		// never reached the disk.
		@Test
		void stopsAtAHole() throws IOException {
			write(ONE);
			Files.write(file(), new byte[4_096], StandardOpenOption.APPEND);
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(ONE));
			}
		}

	}

	@Nested
	class FailuresOfTheDisk {

		// Guards against acknowledged entries that a restart does not read, because an
		// earlier write to a full disk left a torn record before them.
		@Test
		void readsEntriesThatFollowAFailedWrite() throws IOException {
			try (FileLedgerLog log = open()) {
				FileLedgerLogTests.this.disk.isFull = true;
				assertThrows(CompletionException.class, () -> log.append(List.of(ONE)).join());
				FileLedgerLogTests.this.disk.isFull = false;
				log.append(List.of(TWO)).join();
			}
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(TWO));
			}
		}

		// Guards against entries that are acknowledged although the data before them may
		// not be on the disk.
		@Test
		void readsEntriesThatFollowAFailedForce() throws IOException {
			try (FileLedgerLog log = open()) {
				FileLedgerLogTests.this.disk.failsToForce = true;
				assertThrows(CompletionException.class, () -> log.append(List.of(ONE)).join());
				FileLedgerLogTests.this.disk.failsToForce = false;
				log.append(List.of(TWO)).join();
			}
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(TWO));
			}
		}

		// Guards against acknowledged entries behind a torn record that can't be cut off.
		@Test
		void refusesEntriesAfterATornRecordThatCannotBeCutOff() throws IOException {
			try (FileLedgerLog log = open()) {
				log.append(List.of(ONE)).join();
				FileLedgerLogTests.this.disk.isFull = true;
				FileLedgerLogTests.this.disk.failsToTruncate = true;
				assertThrows(CompletionException.class, () -> log.append(List.of(TWO)).join());
				FileLedgerLogTests.this.disk.isFull = false;
				assertThrows(CompletionException.class, () -> log.append(List.of(TWO)).join());
			}
			FileLedgerLogTests.this.disk.failsToTruncate = false;
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(ONE));
			}
		}

		// Guards against a compaction that fails on a full disk and takes the log with
		// it.
		@Test
		void keepsTheLogWhenACompactionFails() throws IOException {
			try (FileLedgerLog log = open()) {
				log.append(List.of(ONE)).join();
				FileLedgerLogTests.this.disk.isFull = true;
				assertThrows(CompletionException.class, () -> log.compact(List.of(ONE, TWO)).join());
				FileLedgerLogTests.this.disk.isFull = false;
				log.append(List.of(TWO)).join();
			}
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(ONE, TWO));
			}
		}

		// Guards against a log that exceeds the space of its machine.
		@Test
		void refusesEntriesBeyondTheLimitOfTheSpace() throws IOException {
			try (FileLedgerLog log = open(new DiskBudget(100))) {
				log.append(List.of(ONE)).join();
				assertThrows(CompletionException.class, () -> log.append(List.of(TWO)).join());
			}
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(ONE));
			}
		}

	}

	@Nested
	class FilesOfEarlierVersions {

		/** Bytes of a file that commit 491f599 wrote for the entry {@link #ONE}. */
		private static final String HEX = "0000002b35cf3fd40000000000102ca00004772f70310003677e3100000000000000840000000000000000000000000000ea60";

		// Guards against a format that changes without notice, so that an update forgets
		// what has been spent.
		@Test
		void areRead() throws IOException {
			Files.write(file(), HexFormat.of().parseHex(HEX));
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(ONE));
			}
		}

		// Guards against files that the earlier version can't read after a step back.
		@Test
		void areWrittenTheSame() throws IOException {
			write(ONE);
			assertThat(HexFormat.of().formatHex(Files.readAllBytes(file())), is(HEX));
		}

	}

	@Nested
	class Compaction {

		// Guards against entries that a compaction loses, and against writes after it
		// that go to the old file.
		@Test
		void keepsTheGivenEntriesAndLaterOnes() throws IOException {
			try (FileLedgerLog log = open()) {
				log.append(List.of(ONE)).join();
				log.compact(List.of(ONE)).join();
				log.append(List.of(TWO)).join();
			}
			try (FileLedgerLog log = open()) {
				assertThat(log.recovered(), contains(ONE, TWO));
			}
		}

	}

}
