package dev.nutmegdoor.node.relay;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes the header fields that concern one connection only (RFC 9110, section 7.6.1).
 */
final class HopByHopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private HopByHopHeaders() {
	}

	/**
	 * Copies header fields without those of the connection.
	 * @param headers the fields
	 * @return a copy
	 */
	static HttpHeaders without(HttpHeaders headers) {
		HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
		for (Map.Entry<String, String> field : headers) {
			if (!NAMES.contains(field.getKey().toLowerCase(Locale.ROOT))) {
				copy.add(field.getKey(), field.getValue());
			}
		}
		for (String connection : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : connection.split(",")) {
				if (!name.isBlank()) {
					copy.remove(name.strip());
				}
			}
		}
		return copy;
	}

}
