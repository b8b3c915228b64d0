package dev.nutmegdoor.node.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import io.netty.buffer.ByteBuf;

/**
 * Records the data of the server-sent events in a byte stream, each followed by a line
 * feed. Only {@code data} fields are recorded; comments, identifiers and other fields are
 * skipped. Lines end with LF or CR LF.
 */
final class EventDataRecorder {

	private static final byte[] FIELD = { 'd', 'a', 't', 'a' };

	private final int maxBytes;

	/** Data of the complete events. */
	private final ByteArrayOutputStream data = new ByteArrayOutputStream();

	/** Data of the event that has not ended yet. */
	private final ByteArrayOutputStream eventData = new ByteArrayOutputStream();

	/** Beginning of a line that has not ended yet. */
	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private boolean hasEventData;

	private boolean isTooLarge;

	/**
	 * Creates a recorder.
	 * @param maxBytes maximum number of bytes to record
	 */
	EventDataRecorder(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Adds the next bytes of the stream.
	 * @param bytes next bytes; its reader index is not changed
	 */
	void add(ByteBuf bytes) {
		int start = bytes.readerIndex();
		while (start < bytes.writerIndex() && !this.isTooLarge) {
			int lineFeed = bytes.indexOf(start, bytes.writerIndex(), (byte) '\n');
			int end = (lineFeed >= 0) ? lineFeed : bytes.writerIndex();
			if (this.data.size() + this.eventData.size() + this.line.size() + end - start > this.maxBytes) {
				this.isTooLarge = true;
				return;
			}
			append(bytes, start, end - start);
			if (lineFeed >= 0) {
				lineEnded(this.line.toByteArray());
				this.line.reset();
			}
			start = end + 1;
		}
	}

	private void append(ByteBuf bytes, int start, int length) {
		try {
			bytes.getBytes(start, this.line, length);
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to memory failed", ex);
		}
	}

	private void lineEnded(byte[] bytes) {
		int end = (bytes.length > 0 && bytes[bytes.length - 1] == '\r') ? bytes.length - 1 : bytes.length;
		if (end == 0) {
			eventEnded();
			return;
		}
		if (!isDataField(bytes, end)) {
			return;
		}
		if (this.hasEventData) {
			this.eventData.write('\n');
		}
		this.hasEventData = true;
		int start = Math.min(end, FIELD.length + 1);
		start += (start < end && bytes[start] == ' ') ? 1 : 0;
		this.eventData.write(bytes, start, end - start);
	}

	private static boolean isDataField(byte[] bytes, int end) {
		if (end < FIELD.length || (end > FIELD.length && bytes[FIELD.length] != ':')) {
			return false;
		}
		for (int i = 0; i < FIELD.length; i++) {
			if (bytes[i] != FIELD[i]) {
				return false;
			}
		}
		return true;
	}

	private void eventEnded() {
		if (this.hasEventData) {
			this.data.writeBytes(this.eventData.toByteArray());
			this.data.write('\n');
			this.eventData.reset();
			this.hasEventData = false;
		}
	}

	/**
	 * Returns whether the stream had more data than the limit; the rest was not recorded.
	 * @return {@code true} if the recorded data is incomplete
	 */
	boolean isTooLarge() {
		return this.isTooLarge;
	}

	/**
	 * Returns the data of the complete events.
	 * @return a copy of the data
	 */
	byte[] data() {
		return this.data.toByteArray();
	}

}
