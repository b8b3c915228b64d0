package dev.nutmegdoor.node.persistence;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import dev.nutmegdoor.core.event.EventLog;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FileLocalPersistenceTests {

	@TempDir
	Path directory;

	private FileLocalPersistence open() throws IOException {
		return new FileLocalPersistence(this.directory, Runnable::run, EventLog.NONE);
	}

	// Guards against a restart that reads a file which a crash left half written.
	@Test
	void loadsWhatWasWrittenAndNoUnfinishedFile() throws IOException {
		try (FileLocalPersistence persistence = open()) {
			persistence.put("a", "1");
			persistence.put("b", "2");
			persistence.put("a", "\u00e9");
			persistence.remove("b");
		}
		Files.writeString(this.directory.resolve("c.tmp"), "half");
		try (FileLocalPersistence persistence = open()) {
			assertThat(persistence.load().join(), is(Map.of("a", "\u00e9")));
		}
	}

	// Guards against a name that leads out of the data folder.
	@Test
	void refusesNamesWithSeparators() throws IOException {
		try (FileLocalPersistence persistence = open()) {
			assertThrows(IllegalArgumentException.class, () -> persistence.put("../a", "1"));
		}
	}

}
