package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Reads the fields of a JSON object and collects all errors instead of stopping at the
 * first one. Unknown fields are ignored, because a newer release may have written them.
 * For an invalid field a method adds an error and returns a placeholder.
 */
final class FieldReader {

	private final String path;

	private final JsonNode node;

	private final List<ConfigurationError> errors;

	FieldReader(String path, JsonNode node, List<ConfigurationError> errors) {
		this.path = path;
		this.node = node;
		this.errors = errors;
		if (!node.isObject()) {
			errors.add(new ConfigurationError(path, describe(node), "an object"));
		}
	}

	long readLong(String field, long min, long max, @Nullable Long defaultValue) {
		JsonNode value = this.node.path(field);
		if (value.isMissingNode() && defaultValue != null) {
			return defaultValue;
		}
		boolean isValid = value.isIntegralNumber() && value.canConvertToLong() && value.asLong() >= min
				&& value.asLong() <= max;
		if (!isValid) {
			addError(field, "a whole number from " + min + " to " + max);
			return min;
		}
		return value.asLong();
	}

	double readDouble(String field, double min, double max) {
		JsonNode value = this.node.path(field);
		if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
			addError(field, String.format(Locale.ROOT, "a number from %s to %s", min, max));
			return min;
		}
		return value.asDouble();
	}

	String readText(String field, String expectation, Predicate<String> isAllowed) {
		JsonNode value = this.node.path(field);
		if (!value.isTextual() || !isAllowed.test(value.asText())) {
			addError(field, expectation);
			return "";
		}
		return value.asText();
	}

	boolean readBoolean(String field) {
		JsonNode value = this.node.path(field);
		if (!value.isMissingNode() && !value.isBoolean()) {
			addError(field, "true or false");
		}
		return value.asBoolean();
	}

	<E extends Enum<E>> E readEnum(String field, E[] constants) {
		for (E constant : constants) {
			if (constant.name().equals(this.node.path(field).asText())) {
				return constant;
			}
		}
		addError(field, "one of " + List.of(constants));
		return constants[0];
	}

	List<String> readTexts(String field) {
		JsonNode value = this.node.path(field);
		List<String> texts = new ArrayList<>();
		value.forEach((element) -> texts.add(element.asText()));
		if (!value.isArray() || texts.isEmpty() || texts.contains("")) {
			addError(field, "a list of one or more names");
		}
		return texts;
	}

	Map<String, Integer> readIntegers(String field, int min, int max) {
		JsonNode value = this.node.path(field);
		Map<String, Integer> result = new TreeMap<>();
		if (value.isMissingNode()) {
			return result;
		}
		FieldReader reader = new FieldReader(this.path + "/" + field, value, this.errors);
		for (Iterator<String> names = value.fieldNames(); names.hasNext();) {
			String name = names.next();
			result.put(name, (int) reader.readLong(name, min, max, null));
		}
		return result;
	}

	@Nullable FieldReader readObject(String field) {
		JsonNode value = this.node.path(field);
		return value.isMissingNode() ? null : new FieldReader(this.path + "/" + field, value, this.errors);
	}

	void addError(String field, String expectation) {
		this.errors.add(new ConfigurationError(this.path + "/" + field, describe(this.node.path(field)), expectation));
	}

	private static String describe(JsonNode value) {
		return value.isMissingNode() ? "missing" : value.toString();
	}

}
