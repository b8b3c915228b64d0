package dev.nutmegdoor.core.configuration;

/**
 * A wrong value in a configuration.
 *
 * @param path where the value is, such as {@code workspaces/acme/burst}
 * @param value the value as it was given, or {@code missing}
 * @param expectation what is expected instead
 */
public record ConfigurationError(String path, String value, String expectation) {

	@Override
	public String toString() {
		return this.path + ": expected " + this.expectation + " but found " + this.value;
	}

}
