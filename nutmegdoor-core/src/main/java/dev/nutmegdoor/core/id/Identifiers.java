package dev.nutmegdoor.core.id;

/**
 * Validates the values of identifier types.
 */
final class Identifiers {

	/**
	 * Maximum length of an identifier in characters; limits the size of frames and store
	 * names.
	 */
	static final int MAX_LENGTH = 128;

	private Identifiers() {
	}

	static void requireValid(String type, String value) {
		if (value.isBlank()) {
			throw new IllegalArgumentException(type + " must not be blank");
		}
		if (value.length() > MAX_LENGTH) {
			throw new IllegalArgumentException(
					type + " must have at most " + MAX_LENGTH + " characters but has " + value.length());
		}
		for (int i = 0; i < value.length(); i++) {
			char c = value.charAt(i);
			if (c <= ' ' || c == '/' || c == 0x7f) {
				throw new IllegalArgumentException(
						type + " must not contain spaces, control characters or '/': '" + value + "'");
			}
		}
	}

}
