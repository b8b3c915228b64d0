package dev.nutmegdoor.core.configuration;

/**
 * Settings for the distribution of the configuration.
 *
 * @param watchersPerZone number of instances in each zone that watch the store
 * @param watchTimeoutMs maximum duration of a watch request in milliseconds
 * @param peerTimeoutMs timeout of a request to a peer in milliseconds
 * @param retryMs mean delay before a failed operation is retried in milliseconds
 * @param startPeers number of peers that a starting instance queries
 */
public record ConfigurationSettings(int watchersPerZone, long watchTimeoutMs, long peerTimeoutMs, long retryMs,
		int startPeers) {

	/**
	 * Two watchers per zone tolerate the failure of one; 12 pending watches in 6 zones
	 * cause 1.2 calls per second to the platform.
	 */
	public static final ConfigurationSettings DEFAULT = new ConfigurationSettings(2, 10_000, 500, 300, 4);

	public ConfigurationSettings {
		requirePositive("watchersPerZone", watchersPerZone);
		requirePositive("watchTimeoutMs", watchTimeoutMs);
		requirePositive("peerTimeoutMs", peerTimeoutMs);
		requirePositive("retryMs", retryMs);
		requirePositive("startPeers", startPeers);
	}

	private static void requirePositive(String name, long value) {
		if (value < 1) {
			throw new IllegalArgumentException(name + " must be at least 1 but is " + value);
		}
	}

}
