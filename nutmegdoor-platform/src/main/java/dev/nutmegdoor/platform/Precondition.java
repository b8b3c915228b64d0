package dev.nutmegdoor.platform;

/**
 * Condition under which the platform carries out a change.
 *
 * @param header name of the HTTP header
 * @param value value of the header
 */
record Precondition(String header, String value) {

	static Precondition absent() {
		return new Precondition("If-None-Match", "*");
	}

	static Precondition version(long version) {
		return new Precondition("If-Match", "\"" + version + "\"");
	}

}
