package dev.nutmegdoor.core.configuration;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.HeartbeatExtension;

/**
 * Adds the active version to heartbeats.
 */
public final class ConfigurationHeartbeat implements HeartbeatExtension {

	private final ConfigurationController controller;

	public ConfigurationHeartbeat(ConfigurationController controller) {
		this.controller = controller;
	}

	@Override
	public String name() {
		return "cv";
	}

	@Override
	public String write() {
		return Long.toString(this.controller.version());
	}

	@Override
	public void read(InstanceId from, String value) {
		try {
			this.controller.onPeerVersion(from, Long.parseLong(value));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("version must be a number but is '" + value + "'", ex);
		}
	}

}
