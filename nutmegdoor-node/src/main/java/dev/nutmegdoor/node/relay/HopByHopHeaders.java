package dev.nutmegdoor.node.relay;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes the header fields that apply to a single connection (RFC 9110, section 7.6.1).
 */
final class HopByHopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private HopByHopHeaders() {
	}

	/**
	 * Copies header fields except hop-by-hop fields and those that the {@code Connection}
	 * field names.
	 * @param headers header fields of a request or response; not modified
	 * @return the copy, without validation of names and values
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
