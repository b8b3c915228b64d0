package dev.nutmegdoor.core.store;

import org.jspecify.annotations.Nullable;

/**
 * A change reported by a watch.
 *
 * @param kind kind of the object
 * @param name name of the object
 * @param version version that the change produced
 * @param value new content, or {@code null} if the object was deleted
 */
public record StoreEvent(String kind, String name, long version, @Nullable String value) {

}
