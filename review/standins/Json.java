import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and writes JSON; objects are maps, arrays are lists. */
final class Json {

	private final String text;

	private int position;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json parser = new Json(text);
		Object value = parser.value();
		parser.space();
		if (parser.position != text.length()) {
			throw new IllegalArgumentException("text after the value");
		}
		return value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(Object value) {
		return (value instanceof Map) ? (Map<String, Object>) value : new LinkedHashMap<>();
	}

	private void space() {
		while (this.position < this.text.length() && this.text.charAt(this.position) <= ' ') {
			this.position++;
		}
	}

	private Object value() {
		space();
		char first = this.text.charAt(this.position);
		if (first == '{') {
			Map<String, Object> object = new LinkedHashMap<>();
			this.position++;
			space();
			while (this.text.charAt(this.position) != '}') {
				space();
				String name = string();
				space();
				this.position++;
				object.put(name, value());
				space();
				if (this.text.charAt(this.position) == ',') {
					this.position++;
				}
			}
			this.position++;
			return object;
		}
		if (first == '[') {
			List<Object> array = new ArrayList<>();
			this.position++;
			space();
			while (this.text.charAt(this.position) != ']') {
				array.add(value());
				space();
				if (this.text.charAt(this.position) == ',') {
					this.position++;
				}
				space();
			}
			this.position++;
			return array;
		}
		if (first == '"') {
			return string();
		}
		int start = this.position;
		while (this.position < this.text.length() && ",]} \r\n\t".indexOf(this.text.charAt(this.position)) < 0) {
			this.position++;
		}
		String word = this.text.substring(start, this.position);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> (word.matches("-?[0-9]+")) ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
		};
	}

	private String string() {
		StringBuilder result = new StringBuilder();
		this.position++;
		while (this.text.charAt(this.position) != '"') {
			char next = this.text.charAt(this.position++);
			if (next == '\\') {
				char escaped = this.text.charAt(this.position++);
				switch (escaped) {
					case 'n' -> result.append('\n');
					case 't' -> result.append('\t');
					case 'r' -> result.append('\r');
					case 'b' -> result.append('\b');
					case 'f' -> result.append('\f');
					case 'u' -> {
						result.append((char) Integer.parseInt(this.text.substring(this.position, this.position + 4), 16));
						this.position += 4;
					}
					default -> result.append(escaped);
				}
			}
			else {
				result.append(next);
			}
		}
		this.position++;
		return result.toString();
	}

	static String write(Object value) {
		StringBuilder result = new StringBuilder();
		write(value, result);
		return result.toString();
	}

	private static void write(Object value, StringBuilder result) {
		if (value instanceof Map<?, ?> map) {
			result.append('{');
			String separator = "";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				result.append(separator);
				quote(String.valueOf(entry.getKey()), result);
				result.append(':');
				write(entry.getValue(), result);
				separator = ",";
			}
			result.append('}');
		}
		else if (value instanceof List<?> list) {
			result.append('[');
			String separator = "";
			for (Object element : list) {
				result.append(separator);
				write(element, result);
				separator = ",";
			}
			result.append(']');
		}
		else if (value instanceof String string) {
			quote(string, result);
		}
		else {
			result.append(value);
		}
	}

	private static void quote(String text, StringBuilder result) {
		result.append('"');
		for (char next : text.toCharArray()) {
			if (next == '"' || next == '\\') {
				result.append('\\').append(next);
			}
			else if (next < ' ') {
				result.append(String.format("\\u%04x", (int) next));
			}
			else {
				result.append(next);
			}
		}
		result.append('"');
	}

}
