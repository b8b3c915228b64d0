package dev.nutmegdoor.node.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

/**
 * Reads a YAML file and collects every problem of it before reporting any.
 */
public final class SettingsFile {

	private static final ObjectMapper MAPPER = YAMLMapper.builder()
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.build();

	private final List<SettingsProblem> problems;

	private final Path path;

	private final SettingsSection root;

	private SettingsFile(Path path, List<SettingsProblem> problems, ObjectNode node) {
		this.path = path;
		this.problems = problems;
		this.root = new SettingsSection(path.toString(), "", node, problems);
	}

	/**
	 * Reads and validates a file.
	 * @param path the file
	 * @param reader takes the values from the file
	 * @param <T> type of the settings
	 * @return the settings
	 * @throws SettingsException if the file has problems; it names all of them
	 */
	public static <T> T read(Path path, Function<SettingsFile, T> reader) {
		List<SettingsProblem> problems = new ArrayList<>();
		T settings = read(path, problems, reader);
		if (!problems.isEmpty()) {
			throw new SettingsException(problems);
		}
		return settings;
	}

	/**
	 * Reads a file that this file refers to; its problems are reported together with
	 * those of this file.
	 * @param relativePath path relative to the directory of this file
	 * @param reader takes the values from the file
	 * @param <T> type of the settings
	 * @return the settings
	 */
	public <T> T readReferenced(String relativePath, Function<SettingsFile, T> reader) {
		Path parent = this.path.getParent();
		Path referenced = (parent != null) ? parent.resolve(relativePath) : Path.of(relativePath);
		return read(referenced.normalize(), this.problems, reader);
	}

	private static <T> T read(Path path, List<SettingsProblem> problems, Function<SettingsFile, T> reader) {
		SettingsFile file = new SettingsFile(path, problems, parse(path, problems));
		T settings = reader.apply(file);
		file.root.rejectUnknownKeys();
		return settings;
	}

	private static ObjectNode parse(Path path, List<SettingsProblem> problems) {
		try {
			JsonNode node = MAPPER.readTree(path.toFile());
			if (node instanceof ObjectNode object) {
				return object;
			}
			problems.add(new SettingsProblem(path.toString(), ".", "not a mapping", "a YAML mapping of settings"));
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
			problems.add(new SettingsProblem(path.toString(), "line " + line, firstLine(ex.getOriginalMessage()),
					"well-formed YAML without duplicate keys"));
		}
		catch (IOException ex) {
			problems.add(new SettingsProblem(path.toString(), ".", "unreadable (" + ex.getMessage() + ")",
					"a readable file"));
		}
		return MAPPER.createObjectNode();
	}

	private static String firstLine(String text) {
		return text.lines().findFirst().orElse("");
	}

	public SettingsSection root() {
		return this.root;
	}

}
