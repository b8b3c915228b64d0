package dev.nutmegdoor.node.relay;

import java.util.List;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.store.KindListener;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.platform.ConfigurationDecoder;

/**
 * Takes over new versions of the configuration from the platform's store.
 */
final class ConfigurationListener implements KindListener {

	private final Deployment deployment;

	private final ConfigurationDecoder decoder;

	private final EventLog events;

	ConfigurationListener(Deployment deployment, ConfigurationDecoder decoder, EventLog events) {
		this.deployment = deployment;
		this.decoder = decoder;
		this.events = events;
	}

	@Override
	public void listed(List<StoredObject> objects) {
		for (StoredObject object : objects) {
			accept(object.name(), object.value(), "list");
		}
	}

	@Override
	public void changed(List<StoreEvent> changes) {
		for (StoreEvent change : changes) {
			String value = change.value();
			if (value != null) {
				accept(change.name(), value, "watch");
			}
		}
	}

	private void accept(String name, String value, String source) {
		if (!name.equals(ConfigurationDecoder.NAME)) {
			return;
		}
		try {
			this.deployment.accept(this.decoder.decode(value), source);
		}
		catch (IllegalArgumentException ex) {
			this.events.record("configuration.unreadable", "source", source, "error", String.valueOf(ex.getMessage()));
		}
	}

}
