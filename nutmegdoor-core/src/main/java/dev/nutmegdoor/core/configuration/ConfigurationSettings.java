package dev.nutmegdoor.core.configuration;

/**
 * Settings of the distribution of the configuration.
 *
 * @param watchersPerZone instances of a zone that watch the store
 * @param watchTimeoutMs longest wait of one watch in milliseconds
 * @param peerTimeoutMs longest wait for the answer of a peer in milliseconds
 * @param retryMs mean delay before a failed step is repeated in milliseconds
 * @param startPeers peers that a starting instance asks
 */
public record ConfigurationSettings(int watchersPerZone, long watchTimeoutMs, long peerTimeoutMs, long retryMs,
		int startPeers) {

	/**
	 * Two watchers a zone survive the failure of one; 12 pending watches in 6 zones cost
	 * the platform 1.2 calls a second.
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
