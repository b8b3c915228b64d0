package dev.nutmegdoor.standin.http;

import java.nio.file.Path;
import java.util.List;

import dev.nutmegdoor.node.settings.SettingsFile;
import dev.nutmegdoor.node.settings.SettingsSection;

/**
 * Settings of a stand-in process, which can host several upstreams on several ports.
 *
 * @param seed seed of all random choices
 * @param engines engines of the process
 * @param services replicas of plain services of the process
 */
public record StandinSettings(long seed, List<EngineStandinSettings> engines, List<ServiceStandinSettings> services) {

	public StandinSettings {
		engines = List.copyOf(engines);
		services = List.copyOf(services);
	}

	/**
	 * Reads the settings of a process that hosts engines.
	 * @param path settings file
	 * @return the settings
	 */
	public static StandinSettings readEngines(Path path) {
		return SettingsFile.read(path, (file) -> {
			SettingsSection root = file.root();
			List<EngineStandinSettings> engines = root.sections("engines")
				.stream()
				.map(EngineStandinSettings::read)
				.toList();
			requireAny(root, "engines", engines);
			return new StandinSettings(root.integer("seed", 0, Long.MAX_VALUE, 1L), engines, List.of());
		});
	}

	/**
	 * Reads the settings of a process that hosts plain services.
	 * @param path settings file
	 * @return the settings
	 */
	public static StandinSettings readServices(Path path) {
		return SettingsFile.read(path, (file) -> {
			SettingsSection root = file.root();
			List<ServiceStandinSettings> services = root.sections("services")
				.stream()
				.map(ServiceStandinSettings::read)
				.toList();
			requireAny(root, "services", services);
			return new StandinSettings(root.integer("seed", 0, Long.MAX_VALUE, 1L), List.of(), services);
		});
	}

	private static void requireAny(SettingsSection root, String key, List<?> values) {
		if (values.isEmpty() && !root.has(key)) {
			root.reject(key, "a list of at least one upstream");
		}
	}

}
