package dev.nutmegdoor.core.configuration;

/**
 * A kind of work that callers name in their requests.
 *
 * @param name name, such as {@code quote}
 * @param priority priority within a workspace; lower is more urgent
 */
public record WorkKind(String name, int priority) {

}
