package dev.nutmegdoor.node.settings;

/**
 * One wrong value of a settings file.
 *
 * @param file settings file
 * @param path path of the value within the file, such as {@code listen.port}
 * @param value the value as text, {@code missing} if there is none
 * @param expected what was expected
 */
public record SettingsProblem(String file, String path, String value, String expected) {

	@Override
	public String toString() {
		return this.file + ": " + this.path + ": value " + this.value + ", expected " + this.expected;
	}

}
