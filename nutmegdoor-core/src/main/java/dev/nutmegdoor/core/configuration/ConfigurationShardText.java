package dev.nutmegdoor.core.configuration;

/**
 * Content of one shard in a message.
 *
 * @param index index of the shard
 * @param text content
 */
public record ConfigurationShardText(int index, String text) {

}
