package dev.nutmegdoor.node.relay;

import io.netty.buffer.ByteBuf;

/**
 * Counts the server-sent events in a stream of bytes. An event ends with an empty line.
 */
final class ServerSentEventCounter {

	private int completeEvents;

	private boolean isInEvent;

	private boolean isLineEmpty = true;

	/**
	 * Counts further bytes.
	 * @param bytes the bytes; not consumed
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
	 * Returns the number of events, an unfinished one included.
	 * @return number of events
	 */
	int events() {
		return this.completeEvents + (this.isInEvent ? 1 : 0);
	}

}
