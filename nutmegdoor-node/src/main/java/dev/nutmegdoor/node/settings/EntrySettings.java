package dev.nutmegdoor.node.settings;

import java.nio.file.Path;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Settings of an entry instance.
 *
 * @param instance identifier of the instance
 * @param availabilityZone zone of the instance
 * @param listen address for callers
 * @param limits bounds on requests
 * @param timeouts longest waits
 * @param maxConnectionsPerUpstream connections that the instance holds to one upstream
 * @param instanceCount number of instances among which the rates are divided while no
 * shares are agreed on
 * @param configuration configuration of the deployment, from its own file; with
 * {@code cluster} only the first version of a deployment that has none
 * @param cluster settings for working together with other instances, or {@code null} for
 * an instance that stands alone
 */
public record EntrySettings(InstanceId instance, AvailabilityZone availabilityZone, ListenSettings listen,
		LimitSettings limits, TimeoutSettings timeouts, int maxConnectionsPerUpstream, int instanceCount,
		Configuration configuration, @Nullable ClusterSettings cluster) {

	/**
	 * Reads and validates a settings file.
	 * @param path the file
	 * @return the settings
	 * @throws SettingsException if the file has problems; it names all of them
	 */
	public static EntrySettings read(Path path) {
		return SettingsFile.read(path, EntrySettings::read);
	}

	private static EntrySettings read(SettingsFile file) {
		SettingsSection root = file.root();
		SettingsSection instance = root.section("instance");
		String configurationFile = root.text("configurationFile", "the path of a configuration file");
		Configuration configuration = root.has("configurationFile")
				? file.readReferenced(configurationFile, ConfigurationReader::read) : Configuration.EMPTY;
		return new EntrySettings(instance.identifier("id", InstanceId::new),
				instance.identifier("zone", AvailabilityZone::new), ListenSettings.read(root.section("listen")),
				LimitSettings.read(root.section("limits")), TimeoutSettings.read(root.section("timeouts")),
				(int) root.integer("maxConnectionsPerUpstream", 1, 100_000, 256L),
				(int) root.integer("instanceCount", 1, 1_000, 1L), configuration,
				root.has("platform") ? ClusterSettings.read(root) : null);
	}

	/**
	 * Returns the same settings for another run of the instance.
	 * @param id identifier of the run
	 * @return settings with that identifier
	 */
	public EntrySettings withInstance(InstanceId id) {
		return new EntrySettings(id, this.availabilityZone, this.listen, this.limits, this.timeouts,
				this.maxConnectionsPerUpstream, this.instanceCount, this.configuration, this.cluster);
	}

}
