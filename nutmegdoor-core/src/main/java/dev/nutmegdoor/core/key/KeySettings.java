package dev.nutmegdoor.core.key;

/**
 * Settings of the authentication of keys.
 *
 * @param isolatedKeyAcceptMs time for which an instance that reaches neither the platform
 * nor a peer accepts known keys, in milliseconds
 * @param pushTimeoutMs longest wait for the receipt of a peer in milliseconds
 * @param requiredCopies peers that must hold a withdrawal before it counts as durable
 * @param storeWatchersPerZone instances of a zone that keep the store and the zone in
 * step
 */
public record KeySettings(long isolatedKeyAcceptMs, long pushTimeoutMs, int requiredCopies, int storeWatchersPerZone) {

	/**
	 * Five minutes of isolation as section 4.4 of the design records it. Two attempts of
	 * 400 ms in a zone, tried through two instances, end within 3 s.
	 */
	public static final KeySettings DEFAULT = new KeySettings(300_000, 400, 2, 2);

	public KeySettings {
		requireAtLeast("isolatedKeyAcceptMs", isolatedKeyAcceptMs, 0);
		requireAtLeast("pushTimeoutMs", pushTimeoutMs, 1);
		requireAtLeast("requiredCopies", requiredCopies, 1);
		requireAtLeast("storeWatchersPerZone", storeWatchersPerZone, 1);
	}

	private static void requireAtLeast(String name, long value, long min) {
		if (value < min) {
			throw new IllegalArgumentException(name + " must be at least " + min + " but is " + value);
		}
	}

}
