import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Map<String, Object> object(String text) {
		return map(new Json(text).value());
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> map(Object value) {
		return (value == null) ? Map.of() : (Map<String, Object>) value;
	}

	@SuppressWarnings("unchecked")
	static List<Object> list(Object value) {
		return (value == null) ? List.of() : (List<Object>) value;
	}

	static long number(Object value) {
		return ((Number) value).longValue();
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		char first = next();
		switch (first) {
			case '{': {
				Map<String, Object> map = new LinkedHashMap<>();
				this.at++;
				while (next() != '}') {
					String name = string();
					next();
					this.at++;
					map.put(name, value());
					if (next() == ',') {
						this.at++;
						next();
					}
				}
				this.at++;
				return map;
			}
			case '[': {
				List<Object> list = new ArrayList<>();
				this.at++;
				while (next() != ']') {
					list.add(value());
					if (next() == ',') {
						this.at++;
						next();
					}
				}
				this.at++;
				return list;
			}
			case '"':
				return string();
			default: {
				int start = this.at;
				while (this.at < this.text.length() && ",]}".indexOf(this.text.charAt(this.at)) < 0) {
					this.at++;
				}
				String word = this.text.substring(start, this.at).strip();
				return switch (word) {
					case "true" -> Boolean.TRUE;
					case "false" -> Boolean.FALSE;
					case "null" -> null;
					default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word)
							: (Object) Double.parseDouble(word);
				};
			}
		}
	}

	private String string() {
		StringBuilder found = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char each = this.text.charAt(this.at++);
			if (each == '\\') {
				char escaped = this.text.charAt(this.at++);
				if (escaped == 'u') {
					found.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				else {
					found.append(switch (escaped) {
						case 'n' -> '\n';
						case 't' -> '\t';
						case 'r' -> '\r';
						case 'b' -> '\b';
						case 'f' -> '\f';
						default -> escaped;
					});
				}
			}
			else {
				found.append(each);
			}
		}
		this.at++;
		return found.toString();
	}

}
