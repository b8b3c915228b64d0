package dev.nutmegdoor.core.configuration;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the message types of this package for registration with the codec.
 */
public final class ConfigurationMessages {

	private ConfigurationMessages() {
	}

	/**
	 * Returns the message types of this package.
	 * @return an immutable list of all types
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(ConfigurationAnnouncement.class, ConfigurationFetch.class, ConfigurationPage.class,
				ConfigurationVersionRequest.class);
	}

}
