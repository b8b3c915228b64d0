package dev.nutmegdoor.core.placement;

/**
 * Describes a change of the prefix cache of an engine. The sequence numbers of an engine
 * are consecutive, so that a receiver can detect lost events.
 *
 * @param sequence sequence number, increased by one with each event of an engine
 * @param kind whether the prefix was stored or evicted
 * @param owner text form of the program, or a hash of the prompt if the call has no
 * program
 * @param tokens number of tokens that the engine holds after the change
 */
public record CacheEvent(long sequence, CacheEventKind kind, String owner, int tokens) {

}
