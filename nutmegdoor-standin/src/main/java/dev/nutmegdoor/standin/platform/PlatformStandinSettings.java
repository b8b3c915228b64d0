package dev.nutmegdoor.standin.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

/**
 * Settings of the stand-in of the platform.
 *
 * @param host IP number to listen on
 * @param port TCP port, 0 for any free one
 * @param seed seed of delays and faults
 * @param readsPerSecond reads, lists and watches accepted in a second
 * @param writesPerSecond changes accepted in a second
 * @param delayMs delay of each answer in milliseconds
 * @param jitterMs largest additional random delay in milliseconds
 * @param listLagMs age of the instance list in milliseconds
 * @param keptEvents changes that a watch can look back
 * @param faults faults by time
 */
public record PlatformStandinSettings(String host, int port, long seed, int readsPerSecond, int writesPerSecond,
		long delayMs, long jitterMs, long listLagMs, int keptEvents, List<PlatformFault> faults) {

	/** Settings of a platform without faults on a free port of the loopback interface. */
	public static final PlatformStandinSettings DEFAULT = new PlatformStandinSettings("127.0.0.1", 0, 1, 2_000, 400, 2,
			2, 2_000, 10_000, List.of());

	public PlatformStandinSettings {
		List<String> errors = new ArrayList<>();
		require(errors, "host", host, "a loopback IP number", host.startsWith("127.") || host.equals("::1"));
		require(errors, "port", port, "0 to 65535", port >= 0 && port <= 65_535);
		require(errors, "readsPerSecond", readsPerSecond, "at least 1", readsPerSecond >= 1);
		require(errors, "writesPerSecond", writesPerSecond, "at least 1", writesPerSecond >= 1);
		require(errors, "delayMs", delayMs, "0 or more", delayMs >= 0);
		require(errors, "jitterMs", jitterMs, "0 or more", jitterMs >= 0);
		require(errors, "listLagMs", listLagMs, "0 or more", listLagMs >= 0);
		require(errors, "keptEvents", keptEvents, "at least 1", keptEvents >= 1);
		if (!errors.isEmpty()) {
			throw new IllegalArgumentException(String.join("; ", errors));
		}
		faults = List.copyOf(faults);
	}

	/**
	 * Reads settings from a YAML file; what the file doesn't set has its default.
	 * @param file the file
	 * @return the settings
	 * @throws IOException if the file can't be read or a value is wrong; the message
	 * names the field
	 */
	public static PlatformStandinSettings read(Path file) throws IOException {
		YAMLMapper mapper = YAMLMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
		ObjectNode merged = mapper.valueToTree(DEFAULT);
		JsonNode given = mapper.readTree(file.toFile());
		if (given instanceof ObjectNode fields) {
			merged.setAll(fields);
		}
		return mapper.treeToValue(merged, PlatformStandinSettings.class);
	}

	private static void require(List<String> errors, String field, Object value, String expected, boolean isValid) {
		if (!isValid) {
			errors.add(field + ": expected " + expected + " but found " + value);
		}
	}

}
