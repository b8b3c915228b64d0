package dev.nutmegdoor.protocol;

/**
 * Kinds of frames.
 */
public enum FrameKind {

	/** First frame of a connection: names the sender and carries the shared secret. */
	HELLO(0),

	/** A message that expects no answer. */
	ONE_WAY(1),

	/** A message that expects an answer with the same correlation id. */
	REQUEST(2),

	/** Answer to a request. */
	ANSWER(3),

	/** The receiver could not handle a request; the body is a text. */
	ERROR(4),

	/** Tells the sender of one-way messages that its connection works. */
	ACKNOWLEDGEMENT(5);

	private final int code;

	FrameKind(int code) {
		this.code = code;
	}

	/**
	 * Returns the number that stands for the kind in a frame.
	 * @return the code
	 */
	public int code() {
		return this.code;
	}

	static FrameKind of(int code) {
		for (FrameKind kind : values()) {
			if (kind.code == code) {
				return kind;
			}
		}
		throw new ProtocolException("unknown kind of frame: " + code);
	}

}
