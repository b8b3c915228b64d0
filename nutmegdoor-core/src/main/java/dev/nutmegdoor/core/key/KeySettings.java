package dev.nutmegdoor.core.key;

/**
 * Settings for the authentication and withdrawal of keys.
 *
 * @param isolatedKeyAcceptMs time in milliseconds for which an instance that reaches
 * neither the platform nor a peer continues to accept keys
 * @param pushTimeoutMs timeout for the receipt of a peer in milliseconds
 * @param requiredCopies number of peers that must have applied a withdrawal before it is
 * considered durable without the store
 * @param storeWatchersPerZone number of instances in each zone that watch the store and
 * write missing withdrawals to it
 */
public record KeySettings(long isolatedKeyAcceptMs, long pushTimeoutMs, int requiredCopies, int storeWatchersPerZone) {

	/**
	 * Five minutes of isolation, as specified in section 4.4 of the design. With two
	 * attempts of 400 ms per instance and two delegates per zone, a withdrawal completes
	 * within 3 s.
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
