package dev.nutmegdoor.node.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

/**
 * Outgoing side of a connection to one peer: keeps frames in order while the connection
 * is being opened, and bounds what waits for a slow peer.
 */
final class PeerConnection {

	/**
	 * Time after which a connection on which nothing comes back is given up. A receiver
	 * acknowledges messages at least every 500 ms.
	 */
	private static final long SILENCE_NS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private final int maxQueuedFrames;

	private final Deque<byte[]> waiting = new ArrayDeque<>();

	private @Nullable Channel channel;

	private int inFlightFrames;

	private boolean closed;

	/** Time of the first frame that was sent after the last one received. */
	private long unansweredSinceNs;

	private boolean isUnanswered;

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
		long nowNs = System.nanoTime();
		if (this.isUnanswered && nowNs - this.unansweredSinceNs > SILENCE_NS) {
			// A connection can go silent without being closed; a new one may work.
			close();
			return false;
		}
		if (!this.isUnanswered) {
			this.isUnanswered = true;
			this.unansweredSinceNs = nowNs;
		}
		if (this.channel == null) {
			this.waiting.addLast(envelope);
			return true;
		}
		write(this.channel, envelope);
		return true;
	}

	/**
	 * Notes that the peer has sent a frame on this connection.
	 */
	synchronized void received() {
		this.isUnanswered = false;
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
