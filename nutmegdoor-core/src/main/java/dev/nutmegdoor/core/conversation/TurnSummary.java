package dev.nutmegdoor.core.conversation;

import org.jspecify.annotations.Nullable;

/**
 * What is known of a turn without its content.
 *
 * @param key workspace and identifier of the turn
 * @param previousId identifier of the turn that it continues, or {@code null}
 * @param group group of the turn
 * @param contentBytes length of the input and the output
 * @param keepMs time in milliseconds for which the turn is still kept on its own account;
 * negative if only later turns of its chain can require it
 */
public record TurnSummary(TurnKey key, @Nullable String previousId, String group, long contentBytes, long keepMs) {

}
