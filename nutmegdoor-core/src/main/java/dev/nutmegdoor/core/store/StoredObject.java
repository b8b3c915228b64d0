package dev.nutmegdoor.core.store;

/**
 * One version of an object in the platform's store.
 *
 * @param kind kind of the object, such as {@code lease}
 * @param name name within the kind
 * @param version version of the last change of the object; increases with each change of
 * any object of the kind
 * @param value content, at most {@link ObjectStore#MAX_VALUE_BYTES} bytes in UTF-8
 */
public record StoredObject(String kind, String name, long version, String value) {

}
