package dev.nutmegdoor.protocol;

/**
 * Frame between instances. The body is not copied, since a frame has a single consumer;
 * {@code equals} compares it by identity.
 *
 * @param kind kind of the frame
 * @param type name of the message type of the body, empty if the body is text
 * @param correlationId identifier that an answer shares with its request, 0 for one-way
 * messages
 * @param timeoutMs time until the deadline of a request in milliseconds, 0 if it has none
 * @param body message in MessagePack, or text in UTF-8
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(FrameKind kind, String type, long correlationId, long timeoutMs, byte[] body) {

}
