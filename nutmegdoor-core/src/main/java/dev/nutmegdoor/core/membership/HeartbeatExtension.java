package dev.nutmegdoor.core.membership;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Adds a field, such as the version of the configuration, to the heartbeats of this
 * instance and receives that field from other instances. Methods are called on the
 * control thread.
 */
public interface HeartbeatExtension {

	/**
	 * Returns the name of the field, which must be unique among the extensions.
	 * @return a short name
	 */
	String name();

	/**
	 * Returns the value for the next heartbeat.
	 * @return a short text, or {@code null} to omit the field
	 */
	@Nullable String write();

	/**
	 * Receives the value of another instance.
	 * @param from sender of the heartbeat
	 * @param value value that the sender's extension returned from {@link #write()}
	 */
	void read(InstanceId from, String value);

}
