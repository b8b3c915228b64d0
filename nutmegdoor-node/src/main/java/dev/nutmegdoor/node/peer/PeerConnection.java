package dev.nutmegdoor.node.peer;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

/**
 * Outgoing side of a connection to one peer: keeps frames in order while the connection
 * is being opened, and bounds what waits for a slow peer.
 */
final class PeerConnection {

	private final int maxQueuedFrames;

	private final Deque<byte[]> waiting = new ArrayDeque<>();

	private @Nullable Channel channel;

	private int inFlightFrames;

	private boolean closed;

	PeerConnection(int maxQueuedFrames) {
		this.maxQueuedFrames = maxQueuedFrames;
	}

	/**
	 * Sends or queues a frame.
	 * @param envelope encoded envelope without length prefix
	 * @return {@code false} if the frame was dropped, because the queue is full or the
	 * connection is closed
	 */
	synchronized boolean send(byte[] envelope) {
		if (this.closed || this.waiting.size() + this.inFlightFrames >= this.maxQueuedFrames) {
			return false;
		}
		if (this.channel == null) {
			this.waiting.addLast(envelope);
			return true;
		}
		write(this.channel, envelope);
		return true;
	}

	synchronized void open(Channel opened, byte[] hello) {
		this.channel = opened;
		write(opened, hello);
		while (!this.waiting.isEmpty()) {
			write(opened, this.waiting.removeFirst());
		}
	}

	synchronized void close() {
		this.closed = true;
		this.waiting.clear();
		if (this.channel != null) {
			this.channel.close();
		}
	}

	synchronized boolean isClosed() {
		return this.closed;
	}

	private void write(Channel target, byte[] envelope) {
		this.inFlightFrames++;
		target.writeAndFlush(Unpooled.wrappedBuffer(lengthPrefix(envelope.length), envelope))
			.addListener((future) -> written());
	}

	private synchronized void written() {
		this.inFlightFrames--;
	}

	private static byte[] lengthPrefix(int length) {
		return new byte[] { (byte) (length >>> 24), (byte) (length >>> 16), (byte) (length >>> 8), (byte) length };
	}

}
