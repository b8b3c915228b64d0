package dev.nutmegdoor.node.relay;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.FrameKind;

/**
 * Encodes the frames of a tunnel with their length prefix.
 */
final class TunnelFrames {

	/** Maximum number of bytes in the body of a frame, that of a read from a socket. */
	static final int MAX_DATA_BYTES = 64 * 1024;

	/** Maximum size of an envelope in bytes, with room for its other fields. */
	static final int MAX_FRAME_BYTES = MAX_DATA_BYTES + 1024;

	private final FrameCodec codec;

	TunnelFrames(FrameCodec codec) {
		this.codec = codec;
	}

	/**
	 * Encodes one frame.
	 * @param frame the frame
	 * @return length prefix and envelope
	 */
	ByteBuf encode(Frame frame) {
		byte[] envelope = this.codec.encode(frame);
		return Unpooled.wrappedBuffer(prefix(envelope), envelope);
	}

	/**
	 * Encodes a frame without a body.
	 * @param kind kind of the frame
	 * @return length prefix and envelope
	 */
	ByteBuf encode(FrameKind kind) {
		return encode(new Frame(kind, "", 0, 0, new byte[0]));
	}

	/**
	 * Encodes bytes into as many frames as their number requires, and releases them.
	 * @param data the bytes
	 * @return the frames, empty if there are no bytes
	 */
	ByteBuf encodeData(ByteBuf data) {
		try {
			List<byte[]> parts = new ArrayList<>();
			while (data.isReadable()) {
				byte[] body = new byte[Math.min(data.readableBytes(), MAX_DATA_BYTES)];
				data.readBytes(body);
				byte[] envelope = this.codec.encode(new Frame(FrameKind.TUNNEL_DATA, "", 0, 0, body));
				parts.add(prefix(envelope));
				parts.add(envelope);
			}
			return Unpooled.wrappedBuffer(parts.toArray(new byte[0][]));
		}
		finally {
			data.release();
		}
	}

	/**
	 * Decodes a frame and releases its bytes.
	 * @param envelope the envelope without length prefix
	 * @return the frame
	 */
	Frame decode(ByteBuf envelope) {
		try {
			byte[] bytes = new byte[envelope.readableBytes()];
			envelope.readBytes(bytes);
			return this.codec.decode(bytes);
		}
		finally {
			envelope.release();
		}
	}

	private static byte[] prefix(byte[] envelope) {
		return Unpooled.copyInt(envelope.length).array();
	}

}
