package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on a connection to a replica. A response must begin after its
 * request was sent: bytes that arrive while no request is in progress are never decoded,
 * because the start of one response could otherwise be joined with the rest of another.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_LINE_BYTES = 16_384;

	private static final int MAX_HEADER_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 16_384;

	private final UpstreamConnection connection;

	/**
	 * Creates a decoder.
	 * @param connection connection that receives the decoded responses
	 */
	UpstreamResponseDecoder(UpstreamConnection connection) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxChunkSize(MAX_CHUNK_BYTES));
		this.connection = connection;
	}

	/**
	 * Returns whether bytes have been received after the last decoded object.
	 * @return {@code true} if there are bytes that are not decoded yet
	 */
	boolean hasUndecodedBytes() {
		return actualReadableBytes() > 0;
	}

	/**
	 * Returns the first bytes after the last decoded object.
	 * @return as many as a status line needs, or all that have been received
	 */
	String startOfUndecodedBytes() {
		ByteBuf undecoded = internalBuffer();
		return undecoded.toString(undecoded.readerIndex(), Math.min(StatusLine.LENGTH, undecoded.readableBytes()),
				StandardCharsets.US_ASCII);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (message instanceof ByteBuf && this.connection.isIdle()) {
			ReferenceCountUtil.release(message);
			this.connection.closeAfterUnexpectedBytes();
			return;
		}
		super.channelRead(context, message);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return (message instanceof HttpResponse response && this.connection.isResponseTo(HttpMethod.HEAD, response))
				|| super.isContentAlwaysEmpty(message);
	}

}
