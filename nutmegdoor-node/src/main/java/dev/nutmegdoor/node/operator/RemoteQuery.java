package dev.nutmegdoor.node.operator;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks another instance on behalf of an operator.
 *
 * @param subject what is asked for
 * @param argument decision identifier or name of a part, or {@code null}
 */
public record RemoteQuery(Subject subject, @Nullable String argument) implements PeerMessage {

	/**
	 * Subjects of queries between instances.
	 */
	public enum Subject {

		/** Records of a decision. */
		EXPLAIN,

		/** Records of a decision and their verification. */
		VERIFY,

		/** State of controllers. */
		DUMP,

		/** Readiness is withdrawn and the instance drains. */
		DRAIN

	}

}
