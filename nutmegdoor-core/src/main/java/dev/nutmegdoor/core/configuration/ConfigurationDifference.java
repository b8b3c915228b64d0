package dev.nutmegdoor.core.configuration;

import org.jspecify.annotations.Nullable;

/**
 * Difference of one item between two configurations, without hashes of secrets.
 *
 * @param path {@code <section>/<id>}
 * @param before JSON of the item in the first configuration, or {@code null} if absent
 * @param after JSON of the item in the second configuration, or {@code null} if absent
 */
public record ConfigurationDifference(String path, @Nullable String before, @Nullable String after) {

}
