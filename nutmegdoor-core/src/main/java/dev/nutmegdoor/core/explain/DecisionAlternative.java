package dev.nutmegdoor.core.explain;

/**
 * A choice that was weighed.
 *
 * @param name what could have been chosen
 * @param score cost of the choice; the lowest wins
 * @param unit unit of the score, such as {@code ms}
 * @param reason how the score came about, or why the choice was excluded
 */
public record DecisionAlternative(String name, double score, String unit, String reason) {

}
