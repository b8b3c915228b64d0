package dev.nutmegdoor.protocol;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Registry of the message types. The name of a type on the wire is the simple name of its
 * class.
 */
public final class MessageTypes {

	private final Map<String, Class<? extends PeerMessage>> classes = new HashMap<>();

	/**
	 * Creates a registry, which does not change afterwards.
	 * @param types all message types of this version
	 * @throws IllegalArgumentException if two classes have the same simple name
	 */
	public MessageTypes(Collection<Class<? extends PeerMessage>> types) {
		for (Class<? extends PeerMessage> type : types) {
			Class<?> registered = this.classes.putIfAbsent(type.getSimpleName(), type);
			if (registered != null && registered != type) {
				throw new IllegalArgumentException(
						"message types must have unique simple names but two are named " + type.getSimpleName());
			}
		}
	}

	String nameOf(PeerMessage message) {
		String name = message.getClass().getSimpleName();
		if (this.classes.get(name) != message.getClass()) {
			throw new ProtocolException("message type " + message.getClass().getName() + " is not registered");
		}
		return name;
	}

	@Nullable Class<? extends PeerMessage> classOf(String name) {
		return this.classes.get(name);
	}

}
