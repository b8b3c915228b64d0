package dev.nutmegdoor.core.conversation;

/**
 * Identifies a stored turn.
 *
 * @param workspace workspace of the turn; turns of other workspaces can't be read
 * @param id identifier of the attempt that brought the whole response
 */
public record TurnKey(String workspace, String id) {

}
