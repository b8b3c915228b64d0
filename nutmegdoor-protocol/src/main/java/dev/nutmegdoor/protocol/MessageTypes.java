package dev.nutmegdoor.protocol;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Names of the message types on the wire: the simple names of their classes.
 */
public final class MessageTypes {

	private final Map<String, Class<? extends PeerMessage>> classes = new HashMap<>();

	/**
	 * Creates the registry.
	 * @param types all message types of this version
	 * @throws IllegalArgumentException if two types have the same simple name
	 */
	public MessageTypes(Collection<Class<? extends PeerMessage>> types) {
		for (Class<? extends PeerMessage> type : types) {
			Class<?> other = this.classes.putIfAbsent(type.getSimpleName(), type);
			if (other != null && other != type) {
				throw new IllegalArgumentException("two message types are named " + type.getSimpleName());
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
