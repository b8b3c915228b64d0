package dev.nutmegdoor.protocol;

/**
 * Kind of a frame; its code is part of the wire format.
 */
public enum FrameKind {

	/**
	 * Handshake: the first frame of a connection, with the sender and the shared secret.
	 */
	HELLO(0),

	/** A message that expects no answer. */
	ONE_WAY(1),

	/** A message that expects an answer with the same correlation id. */
	REQUEST(2),

	/** Answer to a request. */
	ANSWER(3),

	/** Reports that the receiver failed to handle a request; the body is a text. */
	ERROR(4),

	/** Confirms to the sender of one-way messages that its connection works. */
	ACKNOWLEDGEMENT(5),

	/** Bytes of a tunnel to a replica; the body is the bytes. */
	TUNNEL_DATA(6),

	/** The replica closed its connection in order; no bytes follow. */
	TUNNEL_END(7),

	/** The connection to the replica was reset or failed; no bytes follow. */
	TUNNEL_RESET(8);

	private final int code;

	FrameKind(int code) {
		this.code = code;
	}

	/**
	 * Returns the code of this kind on the wire.
	 * @return a number from 0 to 8
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
		throw new ProtocolException("unknown frame kind: " + code);
	}

}
