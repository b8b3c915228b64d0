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
 * @param receiver identifier of the instance that a handshake is meant for, empty in
 * other frames and if the sender knows only an address
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(FrameKind kind, String type, long correlationId, long timeoutMs, byte[] body, String receiver) {

	public Frame(FrameKind kind, String type, long correlationId, long timeoutMs, byte[] body) {
		this(kind, type, correlationId, timeoutMs, body, "");
	}

	/**
	 * Creates a handshake.
	 * @param sender identifier of the sending instance
	 * @param receiver identifier of the receiving instance, empty if it is unknown
	 * @param sharedSecret secret that all instances share, in UTF-8
	 * @return a frame without a message
	 */
	public static Frame hello(String sender, String receiver, byte[] sharedSecret) {
		return new Frame(FrameKind.HELLO, sender, 0, 0, sharedSecret, receiver);
	}

}
