package dev.nutmegdoor.core.configuration;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Messages of this package, for the codec.
 */
public final class ConfigurationMessages {

	private ConfigurationMessages() {
	}

	/**
	 * Returns the classes of the messages.
	 * @return all of them
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(ConfigurationAnnouncement.class, ConfigurationFetch.class, ConfigurationPage.class,
				ConfigurationVersionRequest.class);
	}

}
