package dev.nutmegdoor.core.explain;

/**
 * Alternative that a decision considered.
 *
 * @param name name of the alternative
 * @param score cost of the alternative; the lowest is chosen
 * @param unit unit of the score, such as {@code ms}
 * @param reason how the score was computed, or why the alternative was excluded
 */
public record DecisionAlternative(String name, double score, String unit, String reason) {

}
