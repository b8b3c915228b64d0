package dev.nutmegdoor.core.id;

/**
 * Validation shared by the identifier types.
 */
final class Identifiers {

	/** Longest identifier in characters; keeps frames and store names small. */
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
