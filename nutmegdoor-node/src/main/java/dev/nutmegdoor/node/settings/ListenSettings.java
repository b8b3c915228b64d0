package dev.nutmegdoor.node.settings;

import java.util.regex.Pattern;

/**
 * Address on which a server listens.
 *
 * @param host IP number
 * @param port TCP port; 0 lets the operating system choose one
 */
public record ListenSettings(String host, int port) {

	private static final Pattern IP_NUMBER = Pattern
		.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}|[0-9a-fA-F:]*:[0-9a-fA-F:]+");

	public static ListenSettings read(SettingsSection section) {
		return new ListenSettings(readHost(section), section.port("port"));
	}

	/**
	 * Reads an IP number under the key {@code host}.
	 * @param section section with the key
	 * @return the IP number
	 */
	public static String readHost(SettingsSection section) {
		return section.parsed("host", "an IP number", (text) -> {
			if (!IP_NUMBER.matcher(text).matches()) {
				throw new IllegalArgumentException("not an IP number: " + text);
			}
			return text;
		}, "127.0.0.1");
	}

}
