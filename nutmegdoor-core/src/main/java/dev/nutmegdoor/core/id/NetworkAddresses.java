package dev.nutmegdoor.core.id;

/**
 * Validates addresses that other writers may have written.
 */
public final class NetworkAddresses {

	private static final int MAX_PORT = 65_535;

	private static final int PARTS = 4;

	private static final int MAX_PART = 255;

	private NetworkAddresses() {
	}

	/**
	 * Returns whether a host is an IPv4 address. Any other host would have to be looked
	 * up, which blocks the calling thread.
	 * @param host the host as text
	 * @return {@code true} if the host has four numbers from 0 to 255
	 */
	public static boolean isIpv4(String host) {
		int start = 0;
		for (int part = 0; part < PARTS; part++) {
			int end = (part < PARTS - 1) ? host.indexOf('.', start) : host.length();
			if (end < 0 || !isPart(host, start, end)) {
				return false;
			}
			start = end + 1;
		}
		return true;
	}

	// A number without leading zeros.
	private static boolean isPart(String host, int start, int end) {
		int length = end - start;
		if (length < 1 || length > 3 || (length > 1 && host.charAt(start) == '0')) {
			return false;
		}
		int value = 0;
		for (int i = start; i < end; i++) {
			char c = host.charAt(i);
			if (c < '0' || c > '9') {
				return false;
			}
			value = value * 10 + (c - '0');
		}
		return value <= MAX_PART;
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
