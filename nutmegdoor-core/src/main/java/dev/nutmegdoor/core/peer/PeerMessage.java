package dev.nutmegdoor.core.peer;

/**
 * Message between instances. Implementations are records that Jackson can serialize.
 * Components may be added, but the meaning of an existing component never changes, so
 * that instances of different versions can communicate.
 */
public interface PeerMessage {

}
