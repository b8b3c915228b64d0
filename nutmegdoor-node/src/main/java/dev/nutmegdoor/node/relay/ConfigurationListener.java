package dev.nutmegdoor.node.relay;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.RouteTable;
import dev.nutmegdoor.core.store.KindListener;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.platform.ConfigurationDecoder;

/**
 * Applies new versions of the configuration from the platform's store or from another
 * instance.
 */
final class ConfigurationListener implements KindListener {

	private final Deployment deployment;

	private final ConfigurationDecoder decoder;

	private final EventLog events;

	private @Nullable String activeConfiguration;

	ConfigurationListener(Deployment deployment, ConfigurationDecoder decoder, EventLog events) {
		this.deployment = deployment;
		this.decoder = decoder;
		this.events = events;
	}

	/**
	 * Returns the active configuration as its writer wrote it.
	 * @return the text, or {@code null} if no configuration is active
	 */
	@Nullable String activeConfiguration() {
		return this.activeConfiguration;
	}

	@Override
	public void listed(List<StoredObject> objects) {
		for (StoredObject object : objects) {
			acceptObject(object.name(), object.value(), "list");
		}
	}

	@Override
	public void changed(List<StoreEvent> changes) {
		for (StoreEvent change : changes) {
			String value = change.value();
			if (value != null) {
				acceptObject(change.name(), value, "watch");
			}
		}
	}

	private void acceptObject(String name, String value, String source) {
		if (name.equals(ConfigurationDecoder.NAME)) {
			accept(value, source);
		}
	}

	/**
	 * Applies a configuration unless a newer one is active. An unreadable one is logged
	 * and ignored.
	 * @param value the configuration as its writer wrote it
	 * @param source where the configuration was received from, for the log
	 */
	void accept(String value, String source) {
		try {
			RouteTable table = this.decoder.decode(value);
			this.deployment.accept(table, source);
			RouteTable activeTable = this.deployment.routes();
			if (activeTable != null && activeTable.version() == table.version()) {
				this.activeConfiguration = value;
			}
		}
		catch (IllegalArgumentException ex) {
			this.events.record("configuration.unreadable", "source", source, "error", String.valueOf(ex.getMessage()));
		}
	}

}
