package dev.nutmegdoor.node.settings;

import java.util.List;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.node.operator.OperatorAccount;
import dev.nutmegdoor.node.operator.OperatorRole;
import dev.nutmegdoor.node.peer.PeerTransportSettings;
import dev.nutmegdoor.platform.PlatformEndpoint;

/**
 * Settings of an instance that works together with others.
 *
 * @param platform address of the platform's API
 * @param availabilityZones all zones of the deployment, the same on all instances
 * @param partitionsPerZone partitions over which the programs of a zone are spread, the
 * same on all instances and never changed
 * @param peer transport between instances
 * @param operator address of the operator API
 * @param operators accounts of operators
 * @param decisionLogBytes memory for decision records in bytes
 * @param reportPeriodMs time between two load reports of an engine in milliseconds
 * @param dataFolder folder for bulk data, or {@code null} on instances without a disk
 */
public record ClusterSettings(PlatformEndpoint platform, List<AvailabilityZone> availabilityZones,
		int partitionsPerZone, PeerTransportSettings peer, ListenSettings operator, List<OperatorAccount> operators,
		long decisionLogBytes, long reportPeriodMs, @Nullable String dataFolder) {

	public ClusterSettings {
		availabilityZones = List.copyOf(availabilityZones);
		operators = List.copyOf(operators);
	}

	/** Default memory for decision records; an eighth of the limit for control. */
	private static final long DEFAULT_DECISION_LOG_BYTES = 16L << 20;

	/** A partition for each of 65 instances of a zone, the size in two years. */
	private static final long DEFAULT_PARTITIONS_PER_ZONE = 64;

	private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

	/**
	 * Reads the sections {@code platform}, {@code peer} and {@code operator} and the keys
	 * beside them.
	 * @param root the whole settings
	 * @return the settings
	 */
	static ClusterSettings read(SettingsSection root) {
		SettingsSection platform = root.section("platform");
		SettingsSection peer = root.section("peer");
		SettingsSection operator = root.section("operator");
		return new ClusterSettings(
				new PlatformEndpoint(ListenSettings.readHost(platform), Math.max(1, platform.port("port")),
						(int) platform.integer("connectMs", 1, 60_000, 1_000L),
						(int) platform.integer("requestMs", 1, 60_000, 2_000L)),
				root.texts("availabilityZones", "the names of all availability zones")
					.stream()
					.map(AvailabilityZone::new)
					.toList(),
				(int) root.integer("partitionsPerZone", 1, 4_096, DEFAULT_PARTITIONS_PER_ZONE),
				new PeerTransportSettings(ListenSettings.readHost(peer), peer.port("port"),
						peer.text("sharedSecret", "a secret that all instances know"),
						(int) peer.integer("maxQueuedFrames", 1, 1_000_000,
								(long) PeerTransportSettings.DEFAULT_MAX_QUEUED_FRAMES),
						(int) peer.integer("connectMs", 1, 60_000,
								(long) PeerTransportSettings.DEFAULT_CONNECT_TIMEOUT_MS)),
				ListenSettings.read(operator),
				operator.sections("accounts").stream().map(ClusterSettings::readAccount).toList(),
				root.integer("decisionLogBytes", 1 << 16, 1L << 32, DEFAULT_DECISION_LOG_BYTES),
				root.integer("reportPeriodMs", 50, 60_000, 500L),
				root.has("dataFolder") ? root.text("dataFolder", "the path of a folder") : null);
	}

	private static OperatorAccount readAccount(SettingsSection section) {
		String hash = section.parsed("tokenHash", "the SHA-256 of a token, 64 lower-case hexadecimal digits",
				(text) -> {
					if (!HASH.matcher(text).matches()) {
						throw new IllegalArgumentException("not a hash: " + text);
					}
					return text;
				}, "");
		return new OperatorAccount(section.text("name", "the name of an operator"), hash,
				section.constant("role", OperatorRole.class));
	}

}
