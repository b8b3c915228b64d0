package dev.nutmegdoor.protocol;

/**
 * One frame between instances. Frames are passed on once and not compared, so the body
 * isn't copied.
 *
 * @param kind kind of the frame
 * @param type name of the type of the body, empty if the body is text
 * @param correlationId links an answer to its request; 0 for one-way messages
 * @param timeoutMs time left for a request in milliseconds, 0 if it has no deadline
 * @param body MessagePack of the message, or UTF-8 text
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(FrameKind kind, String type, long correlationId, long timeoutMs, byte[] body) {

}
