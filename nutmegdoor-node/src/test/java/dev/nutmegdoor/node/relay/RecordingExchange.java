package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import dev.nutmegdoor.core.route.ResponseMetadata;

/**
 * Records the events of a request on a connection to a replica.
 */
final class RecordingExchange implements UpstreamExchange {

	private final List<String> events = new ArrayList<>();

	private final String attemptId;

	RecordingExchange(String attemptId) {
		this.attemptId = attemptId;
	}

	List<String> events() {
		return this.events;
	}

	@Override
	public HttpRequest requestHead() {
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
	}

	@Override
	public ByteBuf requestBody() {
		return Unpooled.EMPTY_BUFFER;
	}

	@Override
	public String attemptId() {
		return this.attemptId;
	}

	@Override
	public void responseStarted(HttpResponseStatus status, HttpHeaders headers, ResponseMetadata metadata) {
		this.events.add(Integer.toString(status.code()));
	}

	@Override
	public void chunkReceived(ByteBuf chunk) {
		this.events.add(chunk.toString(StandardCharsets.US_ASCII));
		chunk.release();
	}

	@Override
	public void responseCompleted() {
		this.events.add("completed");
	}

	@Override
	public void failed(String reason, boolean isConnectionLost) {
		this.events.add("broken");
	}

}
