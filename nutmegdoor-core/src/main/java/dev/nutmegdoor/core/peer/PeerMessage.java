package dev.nutmegdoor.core.peer;

/**
 * Message between instances. Implementations are records of values that Jackson can
 * write; fields are only added, never changed in meaning, so that versions can mix.
 */
public interface PeerMessage {

}
