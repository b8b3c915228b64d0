package dev.nutmegdoor.core.membership;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Adds a small field to the heartbeats of this instance and receives the field of others,
 * such as the version of the configuration.
 */
public interface HeartbeatExtension {

	/**
	 * Returns the name of the field.
	 * @return a short name that no other extension uses
	 */
	String name();

	/**
	 * Returns the value to send now.
	 * @return a short text, or {@code null} to send none
	 */
	@Nullable String write();

	/**
	 * Receives the value of another instance on the control thread.
	 * @param from sender of the heartbeat
	 * @param value value that its extension wrote
	 */
	void read(InstanceId from, String value);

}
