package dev.nutmegdoor.core.configuration;

/**
 * An invalid value in a configuration.
 *
 * @param path path of the value, such as {@code workspaces/acme/burst}
 * @param value the invalid value, or {@code missing}
 * @param expectation description of valid values
 */
public record ConfigurationError(String path, String value, String expectation) {

	@Override
	public String toString() {
		return this.path + ": expected " + this.expectation + " but found " + this.value;
	}

}
