package dev.nutmegdoor.standin.platform;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import dev.nutmegdoor.node.settings.ListenSettings;
import dev.nutmegdoor.node.settings.SettingsFile;
import dev.nutmegdoor.node.settings.SettingsSection;

/**
 * Settings of the stand-in for the platform.
 *
 * @param host loopback IP address to listen on
 * @param port TCP port, 0 for any free one
 * @param seed seed of delays and faults
 * @param readsPerSecond maximum reads, lists and watches per second
 * @param writesPerSecond maximum changes per second
 * @param delayMs delay of each request in milliseconds
 * @param jitterMs maximum additional random delay in milliseconds
 * @param keptEvents maximum changes in the log that watches read
 * @param faults scheduled faults
 */
public record PlatformStandinSettings(String host, int port, long seed, int readsPerSecond, int writesPerSecond,
		long delayMs, long jitterMs, int keptEvents, List<PlatformFault> faults) {

	/** Settings of a platform without faults on a free port of the loopback interface. */
	public static final PlatformStandinSettings DEFAULT = new PlatformStandinSettings("127.0.0.1", 0, 1, 2_000, 400, 2,
			2, 10_000, List.of());

	private static final long MAX_RATE = 1_000_000;

	private static final long MAX_DELAY_MS = 600_000;

	public PlatformStandinSettings {
		List<String> errors = new ArrayList<>();
		require(errors, "host", host, "a loopback IP number", host.startsWith("127.") || host.equals("::1"));
		require(errors, "port", port, "0 to 65535", port >= 0 && port <= 65_535);
		require(errors, "readsPerSecond", readsPerSecond, "at least 1", readsPerSecond >= 1);
		require(errors, "writesPerSecond", writesPerSecond, "at least 1", writesPerSecond >= 1);
		require(errors, "delayMs", delayMs, "0 or more", delayMs >= 0);
		require(errors, "jitterMs", jitterMs, "0 or more", jitterMs >= 0);
		require(errors, "keptEvents", keptEvents, "at least 1", keptEvents >= 1);
		if (!errors.isEmpty()) {
			throw new IllegalArgumentException(String.join("; ", errors));
		}
		faults = List.copyOf(faults);
	}

	/**
	 * Reads settings from a YAML file. Absent keys get the values of {@link #DEFAULT}.
	 * @param path path of the file
	 * @return the complete settings
	 * @throws dev.nutmegdoor.node.settings.SettingsException if the file is unreadable or
	 * has invalid values; the message lists all of them
	 */
	public static PlatformStandinSettings read(Path path) {
		return SettingsFile.read(path, (file) -> {
			SettingsSection root = file.root();
			List<PlatformFault> faults = root.sections("faults").stream().map(PlatformFault::read).toList();
			String host = root.has("host") ? ListenSettings.readHost(root) : DEFAULT.host();
			return new PlatformStandinSettings(host, root.has("port") ? root.port("port") : 0,
					root.integer("seed", 0, Long.MAX_VALUE, DEFAULT.seed()),
					(int) root.integer("readsPerSecond", 1, MAX_RATE, (long) DEFAULT.readsPerSecond()),
					(int) root.integer("writesPerSecond", 1, MAX_RATE, (long) DEFAULT.writesPerSecond()),
					root.integer("delayMs", 0, MAX_DELAY_MS, DEFAULT.delayMs()),
					root.integer("jitterMs", 0, MAX_DELAY_MS, DEFAULT.jitterMs()),
					(int) root.integer("keptEvents", 1, MAX_RATE, (long) DEFAULT.keptEvents()), faults);
		});
	}

	private static void require(List<String> errors, String field, Object value, String expected, boolean isValid) {
		if (!isValid) {
			errors.add(field + ": expected " + expected + " but found " + value);
		}
	}

}
