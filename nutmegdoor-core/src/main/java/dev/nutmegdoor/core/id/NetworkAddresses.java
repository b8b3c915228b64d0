package dev.nutmegdoor.core.id;

import java.util.regex.Pattern;

/**
 * Validates addresses that other writers may have written.
 */
public final class NetworkAddresses {

	private static final int MAX_PORT = 65_535;

	private static final Pattern IPV4 = Pattern
		.compile("(?:(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])(?:\\.(?!$)|$)){4}");

	private NetworkAddresses() {
	}

	/**
	 * Returns whether a host is an IPv4 address. Any other host would have to be looked
	 * up, which blocks the calling thread.
	 * @param host the host as text
	 * @return {@code true} if the host has four numbers from 0 to 255
	 */
	public static boolean isIpv4(String host) {
		return host.length() <= "255.255.255.255".length() && IPV4.matcher(host).matches();
	}

	/**
	 * Returns whether connections to a port are possible.
	 * @param port number of the port
	 * @return {@code true} if the port is from 1 to 65,535
	 */
	public static boolean isPort(int port) {
		return port >= 1 && port <= MAX_PORT;
	}

}
