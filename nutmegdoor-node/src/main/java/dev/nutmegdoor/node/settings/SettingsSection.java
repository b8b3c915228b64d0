package dev.nutmegdoor.node.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * A mapping within a settings file. A wrong value is recorded as a problem and replaced
 * by a valid placeholder, so that reading continues and finds all problems in one run.
 */
public final class SettingsSection {

	private static final String PLACEHOLDER = "invalid";

	private static final Pattern KEY = Pattern.compile("nd_[^\\s\"]+");

	private static final int MAX_PORT = 65_535;

	private final String file;

	private final String path;

	private final ObjectNode node;

	private final List<SettingsProblem> problems;

	private final Set<String> readKeys = new HashSet<>();

	private final List<SettingsSection> children = new ArrayList<>();

	SettingsSection(String file, String path, ObjectNode node, List<SettingsProblem> problems) {
		this.file = file;
		this.path = path;
		this.node = node;
		this.problems = problems;
	}

	/**
	 * Reads a required text.
	 * @param key key within this section
	 * @param expected what the text is, for the report
	 * @return the text
	 */
	public String text(String key, String expected) {
		JsonNode value = value(key);
		if (value == null || !value.isValueNode() || value.asText().isBlank()) {
			reject(key, expected);
			return PLACEHOLDER;
		}
		return value.asText();
	}

	/**
	 * Reads a required value with its own text form.
	 * @param key key within this section
	 * @param expected what the value is, for the report
	 * @param parser parses the text; throws {@link IllegalArgumentException} if it is
	 * wrong
	 * @param placeholder replaces a wrong value
	 * @param <T> type of the value
	 * @return the value
	 */
	public <T> T parsed(String key, String expected, Function<String, T> parser, T placeholder) {
		JsonNode value = value(key);
		if (value == null || !value.isValueNode()) {
			reject(key, expected);
			return placeholder;
		}
		try {
			return parser.apply(value.asText());
		}
		catch (IllegalArgumentException ex) {
			reject(key, expected);
			return placeholder;
		}
	}

	/**
	 * Reads a required identifier.
	 * @param key key within this section
	 * @param constructor constructor of the identifier
	 * @param <T> type of the identifier
	 * @return the identifier
	 */
	public <T> T identifier(String key, Function<String, T> constructor) {
		return parsed(key, "an identifier of 1 to 128 characters without spaces or '/'", constructor,
				constructor.apply(PLACEHOLDER));
	}

	/**
	 * Reads one of the constants of an enumeration, written in lower case with hyphens.
	 * @param key key within this section
	 * @param type the enumeration
	 * @param <E> type of the enumeration
	 * @return the constant
	 */
	public <E extends Enum<E>> E constant(String key, Class<E> type) {
		Map<String, E> constants = new LinkedHashMap<>();
		for (E constant : type.getEnumConstants()) {
			constants.put(constant.name().toLowerCase(Locale.ROOT).replace('_', '-'), constant);
		}
		JsonNode value = value(key);
		E constant = (value != null) ? constants.get(value.asText()) : null;
		if (constant == null) {
			reject(key, "one of " + String.join(", ", constants.keySet()));
			return type.getEnumConstants()[0];
		}
		return constant;
	}

	public long integer(String key, long minimum, long maximum) {
		return integer(key, minimum, maximum, null);
	}

	/**
	 * Reads a whole number.
	 * @param key key within this section
	 * @param minimum smallest valid number
	 * @param maximum largest valid number
	 * @param defaultValue number if the key is absent, or {@code null} if it is required
	 * @return the number
	 */
	public long integer(String key, long minimum, long maximum, @Nullable Long defaultValue) {
		JsonNode value = value(key);
		if (value == null && defaultValue != null) {
			return defaultValue;
		}
		if (value == null || !value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < minimum
				|| value.asLong() > maximum) {
			reject(key, "a whole number from " + minimum + " to " + maximum);
			return minimum;
		}
		return value.asLong();
	}

	public int port(String key) {
		return (int) integer(key, 0, MAX_PORT);
	}

	/**
	 * Reads a number.
	 * @param key key within this section
	 * @param minimum smallest valid number
	 * @param maximum largest valid number
	 * @param defaultValue number if the key is absent, or {@code null} if it is required
	 * @return the number
	 */
	public double decimal(String key, double minimum, double maximum, @Nullable Double defaultValue) {
		JsonNode value = value(key);
		if (value == null && defaultValue != null) {
			return defaultValue;
		}
		if (value == null || !value.isNumber() || !(value.asDouble() >= minimum) || value.asDouble() > maximum) {
			reject(key, "a number from " + minimum + " to " + maximum);
			return minimum;
		}
		return value.asDouble();
	}

	public boolean flag(String key, boolean defaultValue) {
		JsonNode value = value(key);
		if (value == null) {
			return defaultValue;
		}
		if (!value.isBoolean()) {
			reject(key, "true or false");
			return defaultValue;
		}
		return value.asBoolean();
	}

	/**
	 * Reads a required list of texts with at least one element.
	 * @param key key within this section
	 * @param expected what an element is, for the report
	 * @return the texts
	 */
	public List<String> texts(String key, String expected) {
		JsonNode value = value(key);
		List<String> texts = new ArrayList<>();
		if (value == null || !value.isArray() || value.isEmpty()) {
			reject(key, "a list of at least one " + expected);
			return texts;
		}
		for (int i = 0; i < value.size(); i++) {
			if (value.get(i).isTextual() && !value.get(i).asText().isBlank()) {
				texts.add(value.get(i).asText());
			}
			else {
				reject(key + "[" + i + "]", value.get(i).toString(), expected);
			}
		}
		return texts;
	}

	/**
	 * Reads a mapping from names to whole numbers.
	 * @param key key within this section
	 * @param minimum smallest valid number
	 * @param maximum largest valid number
	 * @return the numbers by name, empty if the key is absent
	 */
	public Map<String, Integer> integers(String key, int minimum, int maximum) {
		Map<String, Integer> numbers = new LinkedHashMap<>();
		SettingsSection section = section(key);
		for (Iterator<String> names = section.node.fieldNames(); names.hasNext();) {
			String name = names.next();
			numbers.put(name, (int) section.integer(name, minimum, maximum));
		}
		return numbers;
	}

	/**
	 * Returns a section within this one.
	 * @param key key within this section
	 * @return the section, an empty one if the key is absent
	 */
	public SettingsSection section(String key) {
		JsonNode value = value(key);
		if (value != null && !value.isObject()) {
			reject(key, "a mapping");
		}
		return child(key, (value instanceof ObjectNode object) ? object : JsonNodeFactory.instance.objectNode());
	}

	/**
	 * Returns a list of sections within this one.
	 * @param key key within this section
	 * @return the sections, none if the key is absent
	 */
	public List<SettingsSection> sections(String key) {
		JsonNode value = value(key);
		List<SettingsSection> sections = new ArrayList<>();
		if (value == null) {
			return sections;
		}
		if (!value.isArray()) {
			reject(key, "a list of mappings");
			return sections;
		}
		for (int i = 0; i < value.size(); i++) {
			String elementKey = key + "[" + i + "]";
			if (value.get(i) instanceof ObjectNode object) {
				sections.add(child(elementKey, object));
			}
			else {
				reject(elementKey, value.get(i).toString(), "a mapping");
			}
		}
		return sections;
	}

	public boolean has(String key) {
		return this.node.hasNonNull(key);
	}

	/**
	 * Records a value as wrong.
	 * @param key key within this section
	 * @param expected what was expected
	 */
	public void reject(String key, String expected) {
		JsonNode value = this.node.get(key);
		reject(key, (value != null) ? value.toString() : "missing", expected);
	}

	private void reject(String key, String value, String expected) {
		String shown = KEY.matcher(value).replaceAll("(key not shown)");
		this.problems.add(new SettingsProblem(this.file, pathOf(key), shown, expected));
	}

	void rejectUnknownKeys() {
		for (Iterator<String> names = this.node.fieldNames(); names.hasNext();) {
			String name = names.next();
			if (!this.readKeys.contains(name)) {
				reject(name, "no such key; known keys here are "
						+ String.join(", ", this.readKeys.stream().sorted().toList()));
			}
		}
		this.children.forEach(SettingsSection::rejectUnknownKeys);
	}

	private SettingsSection child(String key, ObjectNode childNode) {
		SettingsSection child = new SettingsSection(this.file, pathOf(key), childNode, this.problems);
		this.children.add(child);
		return child;
	}

	private @Nullable JsonNode value(String key) {
		this.readKeys.add(key);
		return this.node.hasNonNull(key) ? this.node.get(key) : null;
	}

	private String pathOf(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

}
