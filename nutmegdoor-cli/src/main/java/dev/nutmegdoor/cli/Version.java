package dev.nutmegdoor.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/**
 * Version of the program, from the build.
 */
final class Version {

	private Version() {
	}

	static String current() {
		try (InputStream stream = Version.class.getResourceAsStream("/nutmegdoor.properties")) {
			if (stream == null) {
				throw new IllegalStateException("nutmegdoor.properties is missing from the program");
			}
			Properties properties = new Properties();
			properties.load(stream);
			return properties.getProperty("version");
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to read nutmegdoor.properties", ex);
		}
	}

}
