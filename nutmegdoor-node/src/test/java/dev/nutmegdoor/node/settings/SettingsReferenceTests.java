package dev.nutmegdoor.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SettingsReferenceTests {

	private static final Pattern KEY = Pattern.compile("`([a-zA-Z]+(?:\\.[a-zA-Z]+)?)`");

	@TempDir
	private Path folder;

	private static List<String> documentedKeys() throws IOException {
		List<String> keys = new ArrayList<>();
		for (String line : Files.readAllLines(Path.of("..", "docs", "settings.md"))) {
			if (line.startsWith("| `")) {
				Matcher matcher = KEY.matcher(line.split("\\|")[1]);
				while (matcher.find()) {
					keys.add(matcher.group(1));
				}
			}
		}
		return keys;
	}

	private String problemsOf(List<String> keys) throws IOException {
		StringBuilder yaml = new StringBuilder();
		StringBuilder nested = new StringBuilder();
		for (String section : List.of("instance", "listen", "platform", "peer", "operator", "limits", "timeouts")) {
			nested.append(section).append(":\n");
			for (String key : keys) {
				if (key.startsWith(section + ".")) {
					nested.append("  ").append(key.substring(section.length() + 1)).append(": {}\n");
				}
			}
		}
		keys.stream().filter((key) -> !key.contains(".")).forEach((key) -> nested.append(key).append(": {}\n"));
		Path file = Files.writeString(this.folder.resolve("entry.yaml"), yaml.append(nested));
		return assertThrows(SettingsException.class, () -> EntrySettings.read(file)).problems().toString();
	}

	// Guards against a page that names keys which the program refuses.
	@Test
	void everyDocumentedKeyIsKnown() throws IOException {
		List<String> keys = documentedKeys();
		assertThat(keys.size(), is(greaterThan(30)));
		assertThat(problemsOf(keys), not(containsString("no such key")));
	}

	// Guards against a check of the page that can't fail.
	@Test
	void anUnknownKeyIsReported() throws IOException {
		List<String> keys = documentedKeys();
		keys.add("timeouts.bogusMs");
		assertThat(problemsOf(keys), containsString("no such key"));
	}

}
