package dev.nutmegdoor.node.entry;

import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.node.settings.LimitSettings;

/**
 * Rejects requests whose header or declared body is too large, before any of the body is
 * read.
 */
final class SizeFilter implements RequestFilter {

	/** Separators in a header line: colon, space, carriage return and line feed. */
	private static final int FIELD_OVERHEAD_BYTES = 4;

	private final LimitSettings limits;

	SizeFilter(LimitSettings limits) {
		this.limits = limits;
	}

	@Override
	public Mono<Void> filter(Exchange exchange) {
		int headerBytes = exchange.headerBytes(FIELD_OVERHEAD_BYTES);
		if (headerBytes > this.limits.maxHeaderBytes()) {
			return tooLarge("the header has " + headerBytes + " bytes, more than " + this.limits.maxHeaderBytes());
		}
		String contentLength = exchange.header("Content-Length");
		if (contentLength != null && Long.parseLong(contentLength) > this.limits.maxBodyBytes()) {
			return tooLarge("the body has " + contentLength + " bytes, more than " + this.limits.maxBodyBytes());
		}
		return Mono.empty();
	}

	private static Mono<Void> tooLarge(String detail) {
		return Mono.error(new RefusalException(Refusal.notRun(RefusalReason.REQUEST_TOO_LARGE, detail, 0)));
	}

}
