package dev.nutmegdoor.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class MainTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private final Main main = new Main(List.of(), new Console(new PrintStream(this.out, true, StandardCharsets.UTF_8),
			new PrintStream(this.err, true, StandardCharsets.UTF_8)));

	// Guards against scripts that mistake a mistyped command for success.
	@Test
	void reportsAnUnknownCommandAsUsageError() {
		assertThat(this.main.run(new String[] { "frobnicate" }), is(ExitCode.USAGE));
		assertThat(this.err.toString(StandardCharsets.UTF_8), containsString("unknown command 'frobnicate'"));
	}

	// Guards against a build that leaves the version placeholder in place.
	@Test
	void printsTheVersionOfTheBuild() {
		assertThat(this.main.run(new String[] { "--version" }), is(ExitCode.OK));
		assertThat(this.out.toString(StandardCharsets.UTF_8), is("nutmegdoor 0.1.0\n"));
	}

}
