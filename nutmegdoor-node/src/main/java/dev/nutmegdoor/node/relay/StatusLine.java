package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Finds the status line of a response within the bytes of another one: a replica wrote a
 * part of one response and then another.
 */
final class StatusLine {

	/** Number of bytes of a status line that are looked for. */
	static final int LENGTH = "HTTP/1.1 200".length();

	private static final Pattern PATTERN = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");

	private static final ByteBuf START = Unpooled
		.unreleasableBuffer(Unpooled.copiedBuffer("HTTP/1.", StandardCharsets.US_ASCII))
		.asReadOnly();

	private StatusLine() {
	}

	static boolean isIn(CharSequence text) {
		return PATTERN.matcher(text).find();
	}

	static boolean isIn(HttpHeaders fields) {
		return fields.entries().stream().anyMatch((field) -> isIn(field.getValue()));
	}

	static boolean isIn(ByteBuf body) {
		return ByteBufUtil.indexOf(START.duplicate(), body) >= 0 && isIn(body.toString(StandardCharsets.US_ASCII));
	}

	/**
	 * Returns whether a status line begins within a body and ends there or behind it.
	 * @param body last bytes of the body
	 * @param next bytes after the body
	 * @return {@code false} if a status line begins just behind the body
	 */
	static boolean beginsIn(ByteBuf body, String next) {
		Matcher matcher = PATTERN.matcher(body.toString(StandardCharsets.US_ASCII) + next);
		return matcher.find() && matcher.start() < body.readableBytes();
	}

}
