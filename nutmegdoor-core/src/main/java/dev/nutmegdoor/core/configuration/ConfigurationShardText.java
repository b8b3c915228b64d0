package dev.nutmegdoor.core.configuration;

/**
 * Content of one shard in a message.
 *
 * @param index index of the shard in the head
 * @param text JSON of the items by section
 */
public record ConfigurationShardText(int index, String text) {

}
