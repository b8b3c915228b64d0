package dev.nutmegdoor.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Encodes and decodes frames and the messages in them. Safe for use by several threads.
 * <p>
 * An envelope is a MessagePack map with the keys {@code v} (protocol version), {@code k}
 * (kind), {@code t} (type), {@code c} (correlation id), {@code d} (timeout in
 * milliseconds), {@code b} (body as binary) and, in a handshake, {@code r} (receiver).
 * Unknown keys are skipped.
 */
public final class FrameCodec {

	/**
	 * Version of the envelope that senders write. Receivers accept every version.
	 */
	public static final int PROTOCOL_VERSION = 1;

	/**
	 * Maximum envelope size in bytes, about twice that of a history of 110,000 tokens.
	 */
	public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

	private final MessageTypes types;

	private final ObjectMapper mapper;

	public FrameCodec(MessageTypes types) {
		this.types = types;
		this.mapper = new ObjectMapper(new MessagePackFactory())
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
	}

	/**
	 * Encodes a message and wraps it in a frame.
	 * @param kind kind of the frame
	 * @param message message of a registered type
	 * @param correlationId identifier that an answer shares with its request, 0 for
	 * one-way messages
	 * @param timeoutMs time until the deadline in milliseconds, 0 for no deadline
	 * @return a frame with the encoded message as its body
	 * @throws ProtocolException if the message type is not registered or can't be encoded
	 */
	public Frame frame(FrameKind kind, PeerMessage message, long correlationId, long timeoutMs) {
		try {
			return new Frame(kind, this.types.nameOf(message), correlationId, timeoutMs,
					this.mapper.writeValueAsBytes(message));
		}
		catch (JsonProcessingException ex) {
			throw new ProtocolException("failed to encode " + message.getClass().getSimpleName(), ex);
		}
	}

	/**
	 * Decodes the body of a frame. Unknown properties are ignored.
	 * @param frame frame whose body is a message
	 * @return the message, or {@code null} if its type is not registered in this version
	 * @throws ProtocolException if the body is malformed
	 */
	public @Nullable PeerMessage message(Frame frame) {
		Class<? extends PeerMessage> type = this.types.classOf(frame.type());
		if (type == null) {
			return null;
		}
		try {
			return this.mapper.readValue(frame.body(), type);
		}
		catch (IOException ex) {
			throw new ProtocolException("failed to decode a message of type " + frame.type(), ex);
		}
	}

	/**
	 * Encodes a frame as an envelope without the length prefix.
	 * @param frame frame with an encoded body
	 * @return the encoded envelope
	 * @throws ProtocolException if the envelope exceeds {@link #MAX_FRAME_BYTES}
	 */
	public byte[] encode(Frame frame) {
		ByteArrayOutputStream stream = new ByteArrayOutputStream(frame.body().length + 64);
		try (MessagePacker packer = MessagePack.newDefaultPacker(stream)) {
			packer.packMapHeader(frame.receiver().isEmpty() ? 6 : 7);
			packer.packString("v").packInt(PROTOCOL_VERSION);
			packer.packString("k").packInt(frame.kind().code());
			packer.packString("t").packString(frame.type());
			packer.packString("c").packLong(frame.correlationId());
			packer.packString("d").packLong(frame.timeoutMs());
			packer.packString("b").packBinaryHeader(frame.body().length).writePayload(frame.body());
			if (!frame.receiver().isEmpty()) {
				packer.packString("r").packString(frame.receiver());
			}
		}
		catch (IOException ex) {
			throw new ProtocolException("failed to encode a frame of type " + frame.type(), ex);
		}
		if (stream.size() > MAX_FRAME_BYTES) {
			throw new ProtocolException("frame of type " + frame.type() + " has " + stream.size() + " bytes, at most "
					+ MAX_FRAME_BYTES + " are allowed");
		}
		return stream.toByteArray();
	}

	/**
	 * Decodes an envelope into a frame. Unknown keys are skipped; the body is not
	 * decoded.
	 * @param bytes the envelope without the length prefix
	 * @return a frame in which absent keys have empty or zero values
	 * @throws ProtocolException if the envelope is malformed or its kind is unknown
	 */
	public Frame decode(byte[] bytes) {
		FrameKind kind = FrameKind.ONE_WAY;
		String type = "";
		long correlationId = 0;
		long timeoutMs = 0;
		byte[] body = new byte[0];
		String receiver = "";
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int size = unpacker.unpackMapHeader();
			for (int i = 0; i < size; i++) {
				String key = unpacker.unpackString();
				if (key.equals("k")) {
					kind = FrameKind.of(unpacker.unpackInt());
				}
				else if (key.equals("t")) {
					type = unpacker.unpackString();
				}
				else if (key.equals("c")) {
					correlationId = unpacker.unpackLong();
				}
				else if (key.equals("d")) {
					timeoutMs = unpacker.unpackLong();
				}
				else if (key.equals("b")) {
					body = readBody(unpacker, bytes.length);
				}
				else if (key.equals("r")) {
					receiver = unpacker.unpackString();
				}
				else {
					unpacker.skipValue();
				}
			}
		}
		catch (IOException | RuntimeException ex) {
			throw new ProtocolException("malformed frame of " + bytes.length + " bytes", ex);
		}
		return new Frame(kind, type, correlationId, timeoutMs, body, receiver);
	}

	private byte[] readBody(MessageUnpacker unpacker, int frameBytes) throws IOException {
		int length = unpacker.unpackBinaryHeader();
		if (length > frameBytes) {
			throw new ProtocolException("body length " + length + " exceeds the frame");
		}
		return unpacker.readPayload(length);
	}

}
