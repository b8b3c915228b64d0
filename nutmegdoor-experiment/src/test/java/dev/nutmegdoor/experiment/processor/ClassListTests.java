package dev.nutmegdoor.experiment.processor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ClassListTests {

	@TempDir
	private Path folder;

	// Guards against a class data archive that lacks the classes of one role, or whose
	// list names classes that exist only in the process that was recorded.
	@Test
	void mergesListsWithoutGeneratedClasses() throws IOException {
		Path lists = Files.createDirectory(this.folder.resolve("lists"));
		Files.write(lists.resolve("1.lst"),
				List.of("# comment", "a/Gateway id: 1", "a/Common", "@lambda-proxy a/Gateway run",
						"jdk/proxy2/$Proxy7 id: 9", "jdk/internal/reflect/GeneratedMethodAccessor12"));
		Files.write(lists.resolve("2.lst"), List.of("a/Common", "a/Ledger"));
		Path target = this.folder.resolve("classes.lst");
		ClassList.merge(lists, target);
		assertThat(Files.readAllLines(target),
				is(List.of("a/Gateway id: 1", "a/Common", "a/Ledger", "@lambda-proxy a/Gateway run")));
	}

}
