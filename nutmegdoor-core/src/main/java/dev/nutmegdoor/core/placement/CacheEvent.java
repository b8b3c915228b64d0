package dev.nutmegdoor.core.placement;

/**
 * Change of an engine's prefix cache. Sequence numbers of an engine have no holes, so
 * that a receiver detects lost events.
 *
 * @param sequence rises by one with each event of an engine
 * @param kind kind of the change
 * @param owner text form of the program, or a hash of the prompt without a program
 * @param tokens tokens that the engine now holds
 */
public record CacheEvent(long sequence, CacheEventKind kind, String owner, int tokens) {

}
