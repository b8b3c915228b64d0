package dev.nutmegdoor.cli;

import java.util.List;
import java.util.Locale;

/**
 * Names that leave the process for one type or command; a row of the list.
 *
 * @param kind what the row describes
 * @param key identifies the row among those of its kind
 * @param names the names in the order in which they are written
 */
record OuterNameRow(Kind kind, String key, List<String> names) {

	private static final String SEPARATOR = ": ";

	OuterNameRow {
		names = List.copyOf(names);
	}

	static OuterNameRow parse(String text) {
		int space = text.indexOf(' ');
		int colon = text.indexOf(':');
		if (space < 0 || colon < space) {
			throw new IllegalArgumentException("not 'KIND KEY: NAMES': " + text);
		}
		String names = text.substring(colon + 1).strip();
		return new OuterNameRow(Kind.valueOf(text.substring(0, space).toUpperCase(Locale.ROOT)),
				text.substring(space + 1, colon), names.isEmpty() ? List.of() : List.of(names.split(", ")));
	}

	@Override
	public String toString() {
		String head = this.kind.toString() + " " + this.key;
		return this.names.isEmpty() ? head + ":" : head + SEPARATOR + String.join(", ", this.names);
	}

	/**
	 * Kinds of rows, in the order of the list.
	 */
	enum Kind {

		MAIN("The class is named in scripts, in the manifest and in deployments; it must keep its name."),

		COMMAND("Scripts call commands and options by these names; they must stay."),

		MESSAGE("Peers of another version read these names. Keep the name of a property with @JsonProperty(\"old name\")"
				+ " on the renamed component. The key is the type in the frame; a renamed class must be sent under its"
				+ " old type."),

		PAYLOAD("Hashes that are stored cover these names. Keep the name of a property with @JsonProperty(\"old name\")"
				+ " on the renamed component. The key is hashed too: a class must keep its name as long as Hashes uses"
				+ " the simple name."),

		RECORD("Stored, logged, dumped or answered JSON holds these names. Keep them with @JsonProperty(\"old name\") on"
				+ " the renamed component. The key is only the name of the class: after a rename of the class change"
				+ " the key of its row and leave the names letter for letter."),

		ENUM("Constants are written, printed (also in lower case) and read by name(); a constant that leaves the process"
				+ " must keep its name. @JsonProperty(\"OLD\") keeps only what Jackson writes; then the row says"
				+ " NEW=OLD, which is right only where nothing else uses name(). The key is only the name of the"
				+ " class: after a rename of the class change the key of its row and leave the names letter for"
				+ " letter.");

		private final String advice;

		Kind(String advice) {
			this.advice = advice;
		}

		/**
		 * Returns how to keep the names of a row.
		 * @return text for the message of a failure
		 */
		String advice() {
			return this.advice;
		}

		/**
		 * Returns whether the key is only the name of a class, which isn't written out.
		 * @return {@code true} if the key may follow a rename
		 */
		boolean isKeyInternal() {
			return this == RECORD || this == ENUM;
		}

		@Override
		public String toString() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
