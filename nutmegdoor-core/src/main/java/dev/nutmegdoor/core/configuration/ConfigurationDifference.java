package dev.nutmegdoor.core.configuration;

import org.jspecify.annotations.Nullable;

/**
 * Difference of one item between two configurations, without hashes of secrets.
 *
 * @param path {@code <section>/<id>}
 * @param before JSON of the item before, or {@code null} if it did not exist
 * @param after JSON of the item after, or {@code null} if it was removed
 */
public record ConfigurationDifference(String path, @Nullable String before, @Nullable String after) {

}
