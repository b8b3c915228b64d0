package dev.nutmegdoor.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

class EntrySettingsTests {

	private static final String VALID_ENTRY = """
			instance: {id: a-1, zone: a}
			listen: {host: 127.0.0.1, port: 0}
			configurationFile: configuration.yaml
			""";

	private static final String VALID_CONFIGURATION = """
			workKinds: [{name: quote, priority: 0}]
			workspaces: [{id: w1, ratePerSecond: 1.5, burst: 3, workPriorities: {quote: 2}}]
			""";

	@TempDir
	private Path directory;

	// Guards against defaults that are lost or values that end up in the wrong field.
	@Test
	void readsAValidFileWithItsConfiguration() throws IOException {
		EntrySettings settings = read(VALID_ENTRY, VALID_CONFIGURATION);
		assertThat(settings.instance().value(), is("a-1"));
		assertThat(settings.limits().maxBodyBytes(), is(2 << 20));
		assertThat(settings.configuration().workspaces().values().iterator().next().ratePerSecond(), is(1.5));
	}

	// Guards against a validation that stops at the first problem, which costs the
	// operator
	// one run for each mistake, and against misspelt keys that are silently ignored.
	@Test
	void reportsAllProblemsOfAllFilesInOneRun() {
		SettingsException exception = assertThrows(SettingsException.class, () -> read("""
				instance: {id: "a 1"}
				listen: {host: localhost, port: 70000, prot: 1}
				limits: {maxBodyBytes: "x"}
				configurationFile: configuration.yaml
				""", """
				workspaces: [{id: w1, ratePerSecond: -1}]
				keys: [{id: k1, workspace: w2, secretHash: nd_k1_secret}]
				upstreams: [{id: e1, kind: engine, zone: a, host: 1.2.3.4, port: 1, serves: [], maxConcurrentCalls: 1}]
				"""));
		List<String> paths = exception.problems().stream().map(SettingsProblem::path).toList();
		assertThat(paths,
				containsInAnyOrder("instance.id", "instance.zone", "listen.host", "listen.port", "listen.prot",
						"limits.maxBodyBytes", "workspaces[0].ratePerSecond", "workspaces[0].burst",
						"keys[0].workspace", "keys[0].secretHash", "upstreams[0].kind", "upstreams[0].serves"));
		assertThat(exception.getMessage(),
				containsString("entry.yaml: listen.port: value 70000, expected a whole " + "number from 0 to 65535"));
		assertThat(exception.getMessage(), containsString("configuration.yaml: workspaces[0].burst: value missing"));
		assertThat("a key put in the wrong place is not printed", exception.getMessage(),
				not(containsString("nd_k1_secret")));
	}

	// Guards against a stack trace instead of a report for a file that is not YAML.
	@Test
	void reportsAMalformedFileWithItsLine() {
		SettingsException exception = assertThrows(SettingsException.class,
				() -> read(VALID_ENTRY, "workspaces: [\n  {id: w1,\n"));
		assertThat(exception.problems(), hasSize(1));
		assertThat(exception.problems().get(0).path(), containsString("line"));
	}

	private EntrySettings read(String entry, String configuration) throws IOException {
		Files.writeString(this.directory.resolve("configuration.yaml"), configuration);
		return EntrySettings.read(Files.writeString(this.directory.resolve("entry.yaml"), entry));
	}

}
