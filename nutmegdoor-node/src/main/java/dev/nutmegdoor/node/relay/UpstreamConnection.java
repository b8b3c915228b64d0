package dev.nutmegdoor.node.relay;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.route.ResponseMetadata;
import dev.nutmegdoor.platform.RequestTranslator;

/**
 * A connection to a replica, used for one request at a time. Bytes that belong to no
 * request and responses to other requests are never forwarded to a client. Confined to
 * the event loop of the connection.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

	/** Used if the replica does not state how long it keeps an idle connection open. */
	private static final long DEFAULT_IDLE_TIMEOUT_MS = 4_000;

	/** Safety margin in milliseconds before a replica closes an idle connection. */
	private static final long IDLE_MARGIN_MS = 700;

	private static final long MS_PER_SECOND = 1_000;

	/**
	 * Maximum number of responses that are skipped before the one to the request. A
	 * faulty replica may send them without end.
	 */
	private static final int MAX_SKIPPED_RESPONSES = 4;

	/** Maximum size in bytes of bodies that are read without being forwarded. */
	private static final long MAX_SKIPPED_BYTES = 256 * 1024;

	/**
	 * Maximum number of digits of a timeout in seconds that are read; more than the
	 * timeout of any replica has.
	 */
	private static final int MAX_TIMEOUT_DIGITS = 9;

	private final Channel channel;

	private final UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(this);

	private final RequestTranslator translator;

	private final UpstreamPool pool;

	private final Upstream upstream;

	private final boolean isDirect;

	private final long openedNs = System.nanoTime();

	private @Nullable UpstreamExchange exchange;

	private HttpMethod method = HttpMethod.GET;

	private @Nullable SkippedResponse skippedResponse;

	private int skippedResponses;

	private long skippedBytes;

	private boolean isKeepAlive = true;

	private boolean isHeadReceived;

	private boolean isBodyEndedByClose;

	private boolean isOtherResponseSkipped;

	private int sends;

	private long idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;

	private long idleSinceNs = System.nanoTime();

	UpstreamConnection(Channel channel, RequestTranslator translator, UpstreamPool pool, Upstream upstream,
			boolean isDirect) {
		this.channel = channel;
		this.translator = translator;
		this.pool = pool;
		this.upstream = upstream;
		this.isDirect = isDirect;
	}

	Upstream upstream() {
		return this.upstream;
	}

	/**
	 * Adds the handlers of the connection in front of those of a pipeline.
	 * @param pipeline pipeline of the connection's channel
	 */
	void addTo(ChannelPipeline pipeline) {
		pipeline.addFirst("nutmegdoor-upstream", this)
			.addFirst("nutmegdoor-encoder", new HttpRequestEncoder())
			.addFirst("nutmegdoor-decoder", this.decoder);
	}

	/**
	 * Adds the handlers of the connection behind another handler.
	 * @param pipeline pipeline of the connection's channel
	 * @param predecessor name of the handler that passes the bytes of the replica on
	 */
	void addTo(ChannelPipeline pipeline, String predecessor) {
		pipeline.addAfter(predecessor, "nutmegdoor-upstream", this)
			.addAfter(predecessor, "nutmegdoor-encoder", new HttpRequestEncoder())
			.addAfter(predecessor, "nutmegdoor-decoder", this.decoder);
	}

	/**
	 * Returns whether the connection leads to the replica without another instance.
	 * @return {@code false} for a tunnel, which carries one request
	 */
	boolean isDirect() {
		return this.isDirect;
	}

	boolean isIdle() {
		return this.exchange == null;
	}

	boolean isUnused() {
		return this.sends == 0;
	}

	/**
	 * Returns whether the connection is open and the replica is expected to keep it open.
	 * @return {@code true} if a request may be sent on the connection
	 */
	boolean isUsable() {
		long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.idleSinceNs);
		return this.channel.isActive() && idleMs < this.idleTimeoutMs;
	}

	/**
	 * Returns whether the connection is open and has been since a given time.
	 * @param sinceNs value of {@link System#nanoTime()}
	 * @return {@code false} if it was opened later or is closed
	 */
	boolean isOpenSince(long sinceNs) {
		return this.channel.isActive() && this.openedNs - sinceNs <= 0;
	}

	void send(UpstreamExchange next) {
		this.exchange = next;
		this.sends++;
		this.isHeadReceived = false;
		this.isOtherResponseSkipped = false;
		this.skippedResponses = 0;
		this.skippedBytes = 0;
		HttpRequest head = next.requestHead();
		this.method = head.method();
		if (this.isDirect) {
			this.pool.watchForSilence(this.upstream);
		}
		this.channel.write(head);
		this.channel.writeAndFlush(new DefaultLastHttpContent(next.requestBody())).addListener((written) -> {
			if (!written.isSuccess()) {
				fail("the request could not be written: " + written.cause(), true);
			}
		});
	}

	/**
	 * Describes the last send for logs.
	 * @return connection, number of the send on it, and skipped responses
	 */
	String describeSend() {
		return this.channel.id().asShortText() + "/" + this.sends + "/" + this.skippedResponses;
	}

	/**
	 * Aborts the request in progress by closing the connection, so that the replica stops
	 * working on it.
	 */
	void abort() {
		this.exchange = null;
		this.channel.close();
	}

	void close() {
		this.channel.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			fail("bytes that are no answer: " + object.decoderResult().cause());
			return;
		}
		if (message instanceof HttpResponse response) {
			responseReceived(response);
		}
		if (message instanceof HttpContent content) {
			contentReceived(content);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.isDirect) {
			this.pool.recordContact();
		}
		context.fireChannelReadComplete();
	}

	private void responseReceived(HttpResponse response) {
		UpstreamExchange current = this.exchange;
		if (current == null) {
			// A response without a request: no data on this connection can be trusted.
			recordUnexpected("response without a request", response);
			this.channel.close();
			return;
		}
		if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
			// What follows would not be HTTP and never end.
			recordUnexpected("protocol switch", response);
			fail("a protocol switch that was not requested");
			return;
		}
		if (StatusLine.isIn(response.status().reasonPhrase()) || StatusLine.isIn(response.headers())) {
			recordUnexpected("parts of two responses", response);
			fail("parts of two responses");
			return;
		}
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			skip(SkippedResponse.INFORMATIONAL);
			return;
		}
		ResponseMetadata metadata = decodeMetadata(response);
		String expected = current.attemptId();
		if (metadata.attemptId() != null && expected != null && !metadata.attemptId().equals(expected)) {
			recordUnexpected("response to another request", response);
			if (isEndedByClose(response)) {
				fail("a response without a length to another request");
				return;
			}
			this.isOtherResponseSkipped = true;
			skip(SkippedResponse.OTHER_REQUEST);
			return;
		}
		if (response.status().codeClass() == HttpStatusClass.UNKNOWN) {
			// The other fields of such a response, such as that the request did not run,
			// can't be trusted either.
			recordUnexpected("undefined status", response);
			fail("a status that HTTP does not define: " + response.status().code());
			return;
		}
		if (metadata.attemptId() == null && expected != null && !isTrustedWithoutAttemptId(response)) {
			recordUnexpected("response without an attempt identifier", response);
			fail("a response without the identifier of its request");
			return;
		}
		// Nothing tells a repetition of a response that names no request from the next
		// one.
		this.isKeepAlive = HttpUtil.isKeepAlive(response) && metadata.attemptId() != null;
		this.idleTimeoutMs = idleTimeoutMs(response);
		this.isHeadReceived = true;
		this.isBodyEndedByClose = isEndedByClose(response);
		current.responseStarted(response.status(), response.headers(), metadata);
	}

	// Only the first response on a connection can't be the repetition of an earlier one.
	private boolean isTrustedWithoutAttemptId(HttpResponse response) {
		return this.sends == 1 && !this.isOtherResponseSkipped
				&& response.status().codeClass() != HttpStatusClass.SUCCESS;
	}

	private static boolean isEndedByClose(HttpResponse response) {
		return !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)
				&& !response.status().equals(HttpResponseStatus.NO_CONTENT)
				&& !response.status().equals(HttpResponseStatus.NOT_MODIFIED);
	}

	private ResponseMetadata decodeMetadata(HttpResponse response) {
		return this.translator.decodeAnswer(response.status().code(), response.headers());
	}

	/**
	 * Returns whether a response belongs to the request in progress and that request has
	 * a given method.
	 * @param requestMethod method of the request
	 * @param response head of the response
	 * @return {@code false} also if the response belongs to another request
	 */
	boolean isResponseTo(HttpMethod requestMethod, HttpResponse response) {
		UpstreamExchange current = this.exchange;
		if (current == null || !this.method.equals(requestMethod)) {
			return false;
		}
		String received = decodeMetadata(response).attemptId();
		return received == null || received.equals(current.attemptId());
	}

	/**
	 * Closes the connection after bytes without a request: the replica writes what the
	 * next request must not take for its response.
	 */
	void closeAfterUnexpectedBytes() {
		this.pool.recordUnexpected("bytes without a request", this, null, 0, null);
		this.channel.close();
		this.pool.closed(this);
	}

	private void recordUnexpected(String reason, HttpResponse response) {
		UpstreamExchange current = this.exchange;
		this.pool.recordUnexpected(reason, this, (current != null) ? current.attemptId() : null,
				response.status().code(), decodeMetadata(response).attemptId());
	}

	private void skip(SkippedResponse kind) {
		this.skippedResponse = kind;
		if (++this.skippedResponses > MAX_SKIPPED_RESPONSES) {
			fail(this.skippedResponses + " responses that don't belong to the request");
		}
	}

	/**
	 * Counts bytes that are not forwarded, and closes the connection when there are too
	 * many of them.
	 * @param bytes number of bytes that were read
	 */
	void skipped(int bytes) {
		this.skippedBytes += bytes;
		if (this.skippedBytes > MAX_SKIPPED_BYTES) {
			fail("more than " + MAX_SKIPPED_BYTES + " bytes that don't belong to an answer");
		}
	}

	/**
	 * Stops or resumes reading, so that a client that reads slowly holds the replica
	 * back.
	 * @param isReading whether to read
	 */
	void setReading(boolean isReading) {
		this.channel.config().setAutoRead(isReading);
	}

	// A response that ends early is filled up with the next one, also one that is
	// skipped.
	private boolean holdsOtherResponse(HttpContent content) {
		if (content instanceof LastHttpContent last && StatusLine.isIn(last.trailingHeaders())) {
			return true;
		}
		if (this.skippedResponse != null || this.isBodyEndedByClose) {
			return StatusLine.isIn(content.content());
		}
		return content instanceof LastHttpContent && this.decoder.hasUndecodedBytes()
				&& StatusLine.beginsIn(content.content(), this.decoder.startOfUndecodedBytes());
	}

	private void contentReceived(HttpContent content) {
		UpstreamExchange current = this.exchange;
		if (current != null && holdsOtherResponse(content)) {
			content.release();
			this.pool.recordUnexpected("response within another", this, current.attemptId(), 0, null);
			fail("a response within the body of another");
			return;
		}
		if (this.skippedResponse != null) {
			skipped(content.content().readableBytes());
			content.release();
			if (content instanceof LastHttpContent) {
				this.skippedResponse = null;
			}
			return;
		}
		if (current == null || !this.isHeadReceived) {
			content.release();
			return;
		}
		ByteBuf chunk = content.content();
		if (chunk.isReadable()) {
			current.chunkReceived(chunk);
		}
		else {
			content.release();
		}
		if (content instanceof LastHttpContent) {
			finish(current);
		}
	}

	private void finish(UpstreamExchange current) {
		this.exchange = null;
		setReading(true);
		this.idleSinceNs = System.nanoTime();
		if (this.decoder.hasUndecodedBytes()) {
			closeAfterUnexpectedBytes();
		}
		else if (this.isKeepAlive && this.channel.isActive()) {
			this.pool.release(this);
		}
		else {
			this.channel.close();
		}
		current.responseCompleted();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		fail("the replica closed the connection", true);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail("the connection failed: " + cause, true);
	}

	private void fail(String reason) {
		fail(reason, false);
	}

	private void fail(String reason, boolean isConnectionLost) {
		UpstreamExchange current = this.exchange;
		this.exchange = null;
		this.channel.close();
		this.pool.closed(this);
		if (current != null) {
			current.failed(reason, isConnectionLost);
		}
	}

	private static long idleTimeoutMs(HttpResponse response) {
		String keepAlive = response.headers().get("Keep-Alive");
		int index = (keepAlive != null) ? keepAlive.indexOf("timeout=") : -1;
		if (keepAlive == null || index < 0) {
			return DEFAULT_IDLE_TIMEOUT_MS;
		}
		int start = index + "timeout=".length();
		int end = start;
		while (end < Math.min(keepAlive.length(), start + MAX_TIMEOUT_DIGITS)
				&& Character.isDigit(keepAlive.charAt(end))) {
			end++;
		}
		// The replica may have rounded its timeout up to whole seconds.
		return (end > start) ? Long.parseLong(keepAlive.substring(start, end)) * MS_PER_SECOND - IDLE_MARGIN_MS
				: DEFAULT_IDLE_TIMEOUT_MS;
	}

	/**
	 * Kind of a response that is skipped.
	 */
	private enum SkippedResponse {

		/** A late or repeated response to an earlier request on the connection. */
		OTHER_REQUEST,

		/** An informational (1xx) response, which precedes the final one. */
		INFORMATIONAL

	}

}
