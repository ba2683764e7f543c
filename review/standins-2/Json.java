package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON of the store and of the replicas. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json json = new Json(text);
		return json.value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) parse(text);
	}

	/** Creates headers from alternating names and values. */
	static Map<String, String> headers(String... fields) {
		Map<String, String> headers = new LinkedHashMap<>();
		for (int index = 0; index < fields.length; index += 2) {
			headers.put(fields[index], fields[index + 1]);
		}
		return headers;
	}

	/** Creates an object from alternating names and values. */
	static Map<String, Object> of(Object... fields) {
		Map<String, Object> object = new LinkedHashMap<>();
		for (int index = 0; index < fields.length; index += 2) {
			object.put((String) fields[index], fields[index + 1]);
		}
		return object;
	}

	private void skip() {
		while (this.at < this.text.length() && this.text.charAt(this.at) <= ' ') {
			this.at++;
		}
	}

	private boolean take(char expected) {
		skip();
		if (this.at < this.text.length() && this.text.charAt(this.at) == expected) {
			this.at++;
			return true;
		}
		return false;
	}

	private Object value() {
		skip();
		char first = this.text.charAt(this.at);
		if (first == '{') {
			this.at++;
			Map<String, Object> object = new LinkedHashMap<>();
			while (!take('}')) {
				skip();
				String name = string();
				take(':');
				object.put(name, value());
				take(',');
			}
			return object;
		}
		if (first == '[') {
			this.at++;
			List<Object> list = new ArrayList<>();
			while (!take(']')) {
				list.add(value());
				take(',');
			}
			return list;
		}
		if (first == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> (word.matches("-?\\d+")) ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
		};
	}

	private String string() {
		StringBuilder result = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char next = this.text.charAt(this.at++);
			if (next == '\\') {
				next = this.text.charAt(this.at++);
				switch (next) {
					case 'n' -> result.append('\n');
					case 'r' -> result.append('\r');
					case 't' -> result.append('\t');
					case 'u' -> {
						result.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
						this.at += 4;
					}
					default -> result.append(next);
				}
			}
			else {
				result.append(next);
			}
		}
		this.at++;
		return result.toString();
	}

	static String write(Object value) {
		if (value instanceof Map<?, ?> map) {
			StringBuilder result = new StringBuilder("{");
			map.forEach((name, entry) -> result.append((result.length() > 1) ? "," : "")
				.append(write(String.valueOf(name)))
				.append(':')
				.append(write(entry)));
			return result.append('}').toString();
		}
		if (value instanceof Iterable<?> list) {
			StringBuilder result = new StringBuilder("[");
			list.forEach((entry) -> result.append((result.length() > 1) ? "," : "").append(write(entry)));
			return result.append(']').toString();
		}
		if (value instanceof String string) {
			return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\r", "\\r")
					+ '"';
		}
		return String.valueOf(value);
	}

}
