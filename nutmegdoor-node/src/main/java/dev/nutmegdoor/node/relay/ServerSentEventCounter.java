package dev.nutmegdoor.node.relay;

import io.netty.buffer.ByteBuf;

/**
 * Counts the server-sent events in a byte stream. An event ends with an empty line.
 */
final class ServerSentEventCounter {

	private int completeEvents;

	private boolean isInEvent;

	private boolean isLineEmpty = true;

	/**
	 * Adds the next bytes of the stream.
	 * @param bytes next bytes; its reader index is not changed
	 */
	void add(ByteBuf bytes) {
		for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
			byte value = bytes.getByte(i);
			if (value == '\n') {
				if (this.isLineEmpty && this.isInEvent) {
					this.completeEvents++;
					this.isInEvent = false;
				}
				this.isLineEmpty = true;
			}
			else if (value != '\r') {
				this.isLineEmpty = false;
				this.isInEvent = true;
			}
		}
	}

	/**
	 * Returns whether the last event is incomplete. A stream that ends there has been
	 * broken off.
	 * @return {@code false} before the first event and after the empty line of each one
	 */
	boolean isInEvent() {
		return this.isInEvent;
	}

	/**
	 * Returns the number of events so far.
	 * @return number of events, including one that has not ended yet
	 */
	int events() {
		return this.completeEvents + (this.isInEvent ? 1 : 0);
	}

}
