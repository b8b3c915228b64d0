package dev.nutmegdoor.core.stream;

/**
 * The replicas at which a stream may go on.
 *
 * @param service service that began the stream
 * @param softwareVersion software version of the replica that began the stream; empty if
 * the replica states none
 */
public record StreamOrigin(String service, String softwareVersion) {

}
