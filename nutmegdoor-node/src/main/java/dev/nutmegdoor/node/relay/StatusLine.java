package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Finds the status line of a response within the bytes of another one: a replica wrote a
 * part of one response and then another. Statuses that HTTP does not define are included.
 */
final class StatusLine {

	/** Number of bytes of a status line that are looked for. */
	static final int LENGTH = "HTTP/1.1 200".length();

	private static final String PREFIX = "HTTP/1.";

	private static final ByteBuf START = Unpooled
		.unreleasableBuffer(Unpooled.copiedBuffer(PREFIX, StandardCharsets.US_ASCII))
		.asReadOnly();

	private StatusLine() {
	}

	static boolean isIn(String text) {
		return indexIn(text) >= 0;
	}

	static boolean isIn(HttpHeaders fields) {
		for (Map.Entry<String, String> field : fields) {
			if (isIn(field.getValue())) {
				return true;
			}
		}
		return false;
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
		int index = indexIn(body.toString(StandardCharsets.US_ASCII) + next);
		return index >= 0 && index < body.readableBytes();
	}

	// Without a regular expression, whose classes each process would load as it starts.
	private static int indexIn(String text) {
		int index = text.indexOf(PREFIX);
		while (index >= 0 && !isStatusLine(text, index)) {
			index = text.indexOf(PREFIX, index + 1);
		}
		return index;
	}

	private static boolean isStatusLine(String text, int index) {
		int position = index + PREFIX.length();
		return index + LENGTH <= text.length() && isBetween(text.charAt(position), '0', '1')
				&& text.charAt(position + 1) == ' ' && isBetween(text.charAt(position + 2), '0', '9')
				&& isBetween(text.charAt(position + 3), '0', '9') && isBetween(text.charAt(position + 4), '0', '9');
	}

	private static boolean isBetween(char c, char first, char last) {
		return c >= first && c <= last;
	}

}
